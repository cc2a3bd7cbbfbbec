package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.assertNoDeathDeclarations;
import static bitternpulley.membership.MembershipScenarios.forEachSeed;
import static bitternpulley.membership.MembershipScenarios.seedOf;
import static bitternpulley.membership.MembershipScenarios.settledCluster;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests network paths that are cut in one or both directions, in virtual time with fixed seeds. */
class MembershipPartitionTest {
  @Test
  void reunitesHalvesThatDeclaredEachOtherDead() {
    forEachSeed(
        6,
        cluster -> {
          cluster.partitionAt(3);
          cluster.runUntil(
              60_000, "each half declares the other dead", () -> halvesSeeEachOtherAsDead(cluster));
          cluster.healAll();
          cluster.runUntil(30_000, "reunited", () -> cluster.allAlive() && cluster.viewsEqual());
        });
  }

  private static boolean halvesSeeEachOtherAsDead(SimulatedCluster cluster) {
    return IntStream.range(0, 3)
        .allMatch(
            low ->
                IntStream.range(3, 6)
                    .allMatch(
                        high ->
                            cluster.member(low).stateOf(high) == MemberState.DEAD
                                && cluster.member(high).stateOf(low) == MemberState.DEAD));
  }

  @Test
  void keepsViewsEqualWithoutFlappingDuringOneWayCut() {
    forEachSeed(
        7,
        cluster -> {
          cluster.cut(0, 1);
          cluster.run(60_000);
          assertNoDeathDeclarations(cluster);
          assertTrue(cluster.viewsEqual(), seedOf(cluster));
          long suspicions =
              cluster.stateChanges().stream()
                  .filter(change -> change.newState() == MemberState.SUSPECT)
                  .count();
          assertTrue(
              suspicions <= 6, seedOf(cluster) + ": " + suspicions + " suspicions in a minute");
        });
  }

  @Test
  void declaresNoMemberDeadWhileOneReceivesNothing() {
    forEachSeed(
        7,
        cluster -> {
          IntStream.range(1, 7).forEach(number -> cluster.cut(number, 0));
          cluster.run(15_000);
          assertNoDeathDeclarations(cluster);
          cluster.healAll();
          cluster.runUntil(
              20_000,
              "healed",
              () -> cluster.isSeenByAllAs(0, MemberState.ALIVE) && cluster.viewsEqual());
        });
  }

  @Test
  void declaresMemberDeadWhileNoneReceivesItsMessages() {
    forEachSeed(
        7,
        cluster -> {
          IntStream.range(1, 7).forEach(number -> cluster.cut(0, number));
          cluster.runUntil(30_000, "dead", () -> cluster.isSeenByAllAs(0, MemberState.DEAD));
          assertNoDeathDeclarations(cluster, 0);
          cluster.healAll();
          cluster.runUntil(
              20_000,
              "healed",
              () -> cluster.isSeenByAllAs(0, MemberState.ALIVE) && cluster.viewsEqual());
        });
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void declaresPartitionedZoneDeadOnlyOnMajoritySideUntilItRejoins(boolean isFlapping) {
    forEachSeed(
        7,
        cluster -> {
          for (int second = 0; second < 10; second++) {
            if (!isFlapping || second % 2 == 0) {
              cluster.partitionAt(3);
            } else {
              cluster.healAll();
            }
            cluster.run(1000);
          }
          cluster.healAll();
          assertTrue(
              cluster.deathDeclarations().stream()
                  .allMatch(declaration -> declaration.member() < 3 && declaration.observer() >= 3),
              seedOf(cluster) + ": " + cluster.deathDeclarations());
          cluster.runUntil(20_000, "healed", cluster::viewsEqual);
          cluster.runUntil(20_000, "all alive", cluster::allAlive);
        });
  }

  @Test
  void keepsMutuallyUnreachableMembersAliveThroughRelays() {
    forEachSeed(
        3,
        cluster -> {
          cluster.cut(0, 2);
          cluster.cut(2, 0);
          cluster.run(60_000);
          assertNoDeathDeclarations(cluster);
        });
  }

  @Test
  void reportsCutPathAndItsDirectionToAllMembers() {
    forEachSeed(
        7,
        cluster -> {
          cluster.cut(0, 1);
          cluster.runUntil(
              60_000,
              "cut path reported by both members",
              () -> allReportPathBetweenFirstTwoMembersCut(cluster));
          cluster.run(30_000);
          assertTrue(allReportPathBetweenFirstTwoMembersCut(cluster), seedOf(cluster));
          assertTrue(
              IntStream.range(0, 7)
                  .noneMatch(observer -> reachability(cluster, observer, 1).receivesFrom(0)),
              seedOf(cluster));
          assertTrue(
              IntStream.range(2, 7)
                  .allMatch(member -> reachability(cluster, 0, member).unreachable().isEmpty()));
          cluster.heal(0, 1);
          cluster.runUntil(
              60_000,
              "healed",
              () ->
                  IntStream.range(0, 7)
                      .allMatch(
                          member -> reachability(cluster, 0, member).unreachable().isEmpty()));
        });
  }

  private static boolean allReportPathBetweenFirstTwoMembersCut(SimulatedCluster cluster) {
    return IntStream.range(0, cluster.size())
        .allMatch(
            observer ->
                reachability(cluster, observer, 0).unreachable().equals(List.of(1))
                    && reachability(cluster, observer, 1).unreachable().equals(List.of(0)));
  }

  private static ReachabilityReport reachability(
      SimulatedCluster cluster, int observer, int member) {
    return cluster.member(observer).members().get(member).reachability();
  }

  @Test
  void rarelyReportsMessageLossAsCutPath() {
    int reportedCuts = 0;
    for (long seed = 1; seed <= 5; seed++) {
      SimulatedCluster cluster = settledCluster(10, seed);
      cluster.setNetwork(NetworkConditions.NORMAL.withLossRate(0.2));
      for (int second = 0; second < 120; second++) {
        cluster.run(1000);
        reportedCuts +=
            IntStream.range(0, 10)
                .map(member -> reachability(cluster, 0, member).unreachable().size())
                .sum();
      }
    }
    assertTrue(reportedCuts <= 300, reportedCuts + " of 54,000 path-seconds were reported as cut");
  }
}
