package bitternpulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** Helpers for the membership tests that use a simulated cluster. */
final class MembershipScenarios {
  /** Number of seeds with which each scenario runs. */
  static final int SEEDS = 10;

  private static final double MAX_START_MS = 60_000;
  private static final double SETTLING_MS = 3000;

  private MembershipScenarios() {}

  /** Creates a cluster and runs it until all members have found each other. */
  static SimulatedCluster settledCluster(int size, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(size, seed, MembershipSettings.DEFAULT);
    cluster.runUntil(MAX_START_MS, "all find each other", cluster::viewsEqual);
    cluster.run(SETTLING_MS);
    cluster.clearStateChanges();
    return cluster;
  }

  /** Runs a scenario on a settled cluster for each seed. */
  static void forEachSeed(int size, Consumer<SimulatedCluster> scenario) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      scenario.accept(settledCluster(size, seed));
    }
  }

  /** Asserts that no members other than these have been declared dead. */
  static void assertNoDeathDeclarations(SimulatedCluster cluster, int... except) {
    assertEquals(
        List.of(),
        cluster.deathDeclarations().stream()
            .filter(
                declaration -> IntStream.of(except).noneMatch(dead -> dead == declaration.member()))
            .toList(),
        seedOf(cluster));
  }

  static String seedOf(SimulatedCluster cluster) {
    return "seed " + cluster.seed();
  }
}
