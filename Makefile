.PHONY: build test lint run

build:
	mvn -q -DskipTests package

test:
	mvn -B -ntp verify

lint:
	mvn -q -B -ntp -Plint -DskipTests clean test-compile

# Needs LB_CONFIG; see README.md.
run: build
	$$(sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)
