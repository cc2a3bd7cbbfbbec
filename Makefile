.PHONY: build test lint format run measure-contracts bench-contracts measure-membership measure-membership-many measure-membership-case bench-membership table-membership measure-scale-servers measure-scale-control

build:
	mvn -q -DskipTests package

test:
	mvn -B -ntp verify

# Formatter, compiler warnings, Error Prone and Checkstyle; `mvn verify` also runs them.
lint:
	mvn -q -B -ntp clean process-test-classes spotless:check

format:
	mvn -q -B -ntp spotless:apply

# Needs LB_CONFIG; see README.md.
run: build
	$$(sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

# The real program with emulated clients and servers; the last line is one JSON object (docs/contracts.md).
measure-contracts: build
	java -cp target/bitternpulley.jar bitternpulley.benchmark.MeasureContracts $(SEED)

# Seven processes with faults between them; the last line is one JSON object (docs/membership.md).
measure-membership: build
	java -cp target/bitternpulley.jar bitternpulley.benchmark.MeasureMembership $(SEED)

# Twelve processes, of which one is paused for 30 s and all but one of the others are killed.
measure-membership-many: build
	java -cp target/bitternpulley.jar bitternpulley.benchmark.MeasureMembershipMany $(SEED)

# One fault scenario, selected by CASE, with seven processes; without CASE the names are printed.
measure-membership-case: build
	java -cp target/bitternpulley.jar bitternpulley.benchmark.MeasureMembershipCase $(CASE) $(SEED)

# One real aggregator with stub slot servers, 130 parts per query; needs 20,000 descriptors (docs/CAPACITY.md).
measure-scale-servers:
	mvn -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/classes:$$(cat target/classpath) bitternpulley.benchmark.MeasureScaleServers $(or $(PARTS),130) $(or $(SIZES),100 500 1000 2000 3500)

# Simulated members with the real state machine and codec: bytes and processor time per member.
measure-scale-control:
	mvn -q -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/classes:target/test-classes:$$(cat target/classpath) bitternpulley.gossip.ControlTraffic $(or $(SIZES),10 30 100 300 530)

# Simulates detection times for the table in docs/membership.md; takes some minutes.
table-membership:
	mvn -q -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/classes:target/test-classes:$$(cat target/classpath) bitternpulley.membership.DetectionTimeTable

# JMH benchmarks; not run in CI.
bench-contracts:
	mvn -q -Pbench -DskipTests -Dbench=AdmissionBenchmark test-compile exec:exec

bench-membership:
	mvn -q -Pbench -DskipTests -Dbench=MembershipBenchmark test-compile exec:exec
