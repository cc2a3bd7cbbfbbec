.PHONY: build test lint format run measure-contracts bench-contracts measure-membership measure-membership-many measure-membership-case bench-membership table-membership measure-scale-servers measure-scale-control

build:
	mvn -q -DskipTests package

test:
	mvn -B -ntp verify

# Formatter, compiler warnings, Error Prone and Checkstyle, as `mvn verify` runs them too.
lint:
	mvn -q -B -ntp clean process-test-classes spotless:check

format:
	mvn -q -B -ntp spotless:apply

# Needs LB_CONFIG; see README.md.
run: build
	$$(sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

# The real program against stand-ins of ours; the last line is one JSON object (docs/contracts.md).
measure-contracts: build
	java -cp target/bitternpulley.jar bitternpulley.benchmark.MeasureContracts $(SEED)

# Seven processes with faults between them; the last line is one JSON object (docs/membership.md).
measure-membership: build
	java -cp target/bitternpulley.jar bitternpulley.benchmark.MeasureMembership $(SEED)

# Twelve processes, of which all but one are killed and one stands still for 30 s.
measure-membership-many: build
	java -cp target/bitternpulley.jar bitternpulley.benchmark.MeasureMembershipMany $(SEED)

# One hard case by its name, with seven processes; without a name it tells them.
measure-membership-case: build
	java -cp target/bitternpulley.jar bitternpulley.benchmark.MeasureMembershipCase $(CASE) $(SEED)

# One real aggregator before hollow slot servers, 130 parts a query; needs 20,000 descriptors (docs/CAPACITY.md).
measure-scale-servers:
	mvn -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/classes:$$(cat target/classpath) bitternpulley.benchmark.MeasureScaleServers $(or $(PARTS),130) $(or $(SIZES),100 500 1000 2000 3500)

# Members of the real state machine and codec in virtual time: bytes and processor time of each.
measure-scale-control:
	mvn -q -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/classes:target/test-classes:$$(cat target/classpath) bitternpulley.gossip.ControlTraffic $(or $(SIZES),10 30 100 300 530)

# Virtual time, some minutes: the table of docs/membership.md.
table-membership:
	mvn -q -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/classes:target/test-classes:$$(cat target/classpath) bitternpulley.membership.DetectionTimeTable

# JMH; not in CI.
bench-contracts:
	mvn -q -Pbench -DskipTests -Dbench=AdmissionBenchmark test-compile exec:exec

bench-membership:
	mvn -q -Pbench -DskipTests -Dbench=MembershipBenchmark test-compile exec:exec
