package bitternpulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** What the tests of membership in a simulated cluster share. */
final class MembershipScenarios {
  /** Seeds of each scenario. */
  static final int SEEDS = 10;

  private static final double MAX_START_MS = 60_000;
  private static final double SETTLING_MS = 3000;

  private MembershipScenarios() {}

  /** A cluster whose members have found each other. */
  static SimulatedCluster settledCluster(int size, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(size, seed, MembershipSettings.DEFAULT);
    cluster.runUntil(MAX_START_MS, "all find each other", cluster::viewsEqual);
    cluster.run(SETTLING_MS);
    cluster.clearStateChanges();
    return cluster;
  }

  /** Runs a scenario on a settled cluster of each seed. */
  static void forEachSeed(int size, Consumer<SimulatedCluster> scenario) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      scenario.accept(settledCluster(size, seed));
    }
  }

  /** Asserts that there is no verdict of death but on these members. */
  static void assertNoDeathVerdicts(SimulatedCluster cluster, int... except) {
    assertEquals(
        List.of(),
        cluster.deathVerdicts().stream()
            .filter(verdict -> IntStream.of(except).noneMatch(dead -> dead == verdict.member()))
            .toList(),
        seedOf(cluster));
  }

  static String seedOf(SimulatedCluster cluster) {
    return "seed " + cluster.seed();
  }
}
