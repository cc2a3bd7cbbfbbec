package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.SEEDS;
import static bitternpulley.membership.MembershipScenarios.assertNoDeathVerdicts;
import static bitternpulley.membership.MembershipScenarios.forEachSeed;
import static bitternpulley.membership.MembershipScenarios.seedOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How soon deaths are detected, and that message loss causes none, in virtual time by seed. */
class MembershipDetectionTest {
  private static final int SMALL_FLEET = 12;

  @ParameterizedTest
  @ValueSource(ints = {5, SMALL_FLEET, 100})
  void detectsADeathWithinSecondsWithoutFalseVerdicts(int size) {
    double maxDetectionMs = size <= SMALL_FLEET ? 11_000 : 13_000;
    forEachSeed(
        size,
        cluster -> {
          cluster.kill(2);
          double detectionMs =
              cluster.runUntil(30_000, "all know", () -> cluster.allHold(2, MemberState.DEAD));
          assertTrue(detectionMs <= maxDetectionMs, seedOf(cluster) + ": " + detectionMs);
          cluster.run(5000);
          assertNoDeathVerdicts(cluster, 2);
          assertTrue(cluster.viewsEqual());
        });
  }

  @Test
  void detectsDeathOfHalfTheFleetAndOfAllButOneWithoutAMajority() {
    forEachSeed(
        12,
        cluster -> {
          IntStream.range(0, 6).forEach(cluster::kill);
          cluster.runUntil(60_000, "half", () -> allHoldDeadBelow(cluster, 6));
          assertTrue(
              cluster.deathVerdicts().stream().allMatch(verdict -> verdict.member() < 6),
              seedOf(cluster));
          IntStream.range(6, 11).forEach(cluster::kill);
          cluster.runUntil(60_000, "all but one", () -> allHoldDeadBelow(cluster, 11));
        });
  }

  private static boolean allHoldDeadBelow(SimulatedCluster cluster, int border) {
    return IntStream.range(0, border).allMatch(number -> cluster.allHold(number, MemberState.DEAD));
  }

  @ParameterizedTest
  @CsvSource({"0.05,30", "0.2,100", "0.4,400"})
  void lossDelayAndDuplicationCauseNoDeathVerdicts(double lossRate, double maxDelayMs) {
    NetworkConditions poor =
        NetworkConditions.NORMAL
            .withLossRate(lossRate)
            .withMaxDelayMs(maxDelayMs)
            .withDuplicationRate(0.1);
    forEachSeed(
        7,
        cluster -> {
          cluster.setNetwork(poor);
          cluster.run(60_000);
          assertNoDeathVerdicts(cluster);
          cluster.setNetwork(NetworkConditions.NORMAL.withDuplicationRate(0.1));
          cluster.runUntil(30_000, "views equal", cluster::viewsEqual);
        });
  }

  /** Updates about first contacts must not delay those about a death. */
  @Test
  void detectsADeathInTimeWhileALargeFleetStarts() {
    SimulatedCluster cluster = new SimulatedCluster(400, 1, MembershipSettings.DEFAULT);
    cluster.run(30_000);
    cluster.kill(7);
    double detectionMs =
        cluster.runUntil(60_000, "all know", () -> cluster.allHold(7, MemberState.DEAD));
    assertTrue(detectionMs <= 10_000, detectionMs + " ms");
  }

  @Test
  void declaresAConfiguredMemberThatNeverStartedDead() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(6, seed, MembershipSettings.DEFAULT);
      cluster.kill(5);
      cluster.runUntil(40_000, "never there", () -> cluster.allHold(5, MemberState.DEAD));
      assertNoDeathVerdicts(cluster, 5);
    }
  }
}
