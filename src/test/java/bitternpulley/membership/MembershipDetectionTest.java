package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.SEEDS;
import static bitternpulley.membership.MembershipScenarios.assertNoDeathDeclarations;
import static bitternpulley.membership.MembershipScenarios.forEachSeed;
import static bitternpulley.membership.MembershipScenarios.seedOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how soon dead members are detected, and that message loss causes no false declarations, in
 * virtual time with fixed seeds.
 */
class MembershipDetectionTest {
  private static final int SMALL_FLEET = 12;

  @ParameterizedTest
  @ValueSource(ints = {5, SMALL_FLEET, 100})
  void detectsDeadMemberWithinSecondsWithoutFalseDeclarations(int size) {
    double maxDetectionMs = size <= SMALL_FLEET ? 11_000 : 13_000;
    forEachSeed(
        size,
        cluster -> {
          cluster.kill(2);
          double detectionMs =
              cluster.runUntil(
                  30_000,
                  "all see member as dead",
                  () -> cluster.isSeenByAllAs(2, MemberState.DEAD));
          assertTrue(detectionMs <= maxDetectionMs, seedOf(cluster) + ": " + detectionMs);
          cluster.run(5000);
          assertNoDeathDeclarations(cluster, 2);
          assertTrue(cluster.viewsEqual());
        });
  }

  @Test
  void detectsDeathOfHalfTheFleetAndOfAllButOneWithoutMajority() {
    forEachSeed(
        12,
        cluster -> {
          IntStream.range(0, 6).forEach(cluster::kill);
          cluster.runUntil(60_000, "half seen as dead", () -> allSeeMembersBelowAsDead(cluster, 6));
          assertTrue(
              cluster.deathDeclarations().stream()
                  .allMatch(declaration -> declaration.member() < 6),
              seedOf(cluster));
          IntStream.range(6, 11).forEach(cluster::kill);
          cluster.runUntil(
              60_000, "all but one seen as dead", () -> allSeeMembersBelowAsDead(cluster, 11));
        });
  }

  private static boolean allSeeMembersBelowAsDead(SimulatedCluster cluster, int limit) {
    return IntStream.range(0, limit)
        .allMatch(number -> cluster.isSeenByAllAs(number, MemberState.DEAD));
  }

  @ParameterizedTest
  @CsvSource({"0.05,30", "0.2,100", "0.4,400"})
  void declaresNoMemberDeadOnLossDelayAndDuplication(double lossRate, double maxDelayMs) {
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
          assertNoDeathDeclarations(cluster);
          cluster.setNetwork(NetworkConditions.NORMAL.withDuplicationRate(0.1));
          cluster.runUntil(30_000, "views equal", cluster::viewsEqual);
        });
  }

  /** Updates about first contacts must not delay updates about a dead member. */
  @Test
  void detectsDeadMemberInTimeWhileLargeFleetStarts() {
    SimulatedCluster cluster = new SimulatedCluster(400, 1, MembershipSettings.DEFAULT);
    cluster.run(30_000);
    cluster.kill(7);
    double detectionMs =
        cluster.runUntil(
            60_000, "all see member as dead", () -> cluster.isSeenByAllAs(7, MemberState.DEAD));
    assertTrue(detectionMs <= 10_000, detectionMs + " ms");
  }

  @Test
  void declaresNeverStartedMemberDead() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(6, seed, MembershipSettings.DEFAULT);
      cluster.kill(5);
      cluster.runUntil(
          40_000, "missing member seen as dead", () -> cluster.isSeenByAllAs(5, MemberState.DEAD));
      assertNoDeathDeclarations(cluster, 5);
    }
  }
}
