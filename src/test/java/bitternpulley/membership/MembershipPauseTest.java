package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.assertNoDeathDeclarations;
import static bitternpulley.membership.MembershipScenarios.forEachSeed;
import static bitternpulley.membership.MembershipScenarios.seedOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests members that were paused or are slow, in virtual time with fixed seeds. */
class MembershipPauseTest {
  @ParameterizedTest
  @CsvSource({"300,1", "3000,1", "3000,3", "300,3"})
  void declaresNoMemberDeadAfterShortPauses(double ms, int pausedMembers) {
    forEachSeed(
        7,
        cluster -> {
          IntStream.range(0, pausedMembers).forEach(number -> cluster.pause(number, ms));
          cluster.run(ms + 20_000);
          assertNoDeathDeclarations(cluster);
          assertTrue(cluster.viewsEqual(), seedOf(cluster));
        });
  }

  @Test
  void reportsPauseAndPingsOthersImmediately() {
    Membership membership =
        new Membership(
            0,
            new MemberMetadata("n0", "z", "r", "b"),
            1000,
            List.of(0, 1, 2, 3),
            MembershipSettings.DEFAULT,
            1,
            1000);
    membership.tick(1100);
    List<MembershipAction> actions = membership.tick(1400);
    assertEquals(
        List.of(new MembershipAction.Resumed(300)),
        actions.stream().filter(action -> action instanceof MembershipAction.Resumed).toList());
    assertTrue(
        actions.stream().filter(action -> action instanceof MembershipAction.Send).count() >= 3,
        actions.toString());
  }

  @Test
  void raisesLocalHealthScoreOfSlowMemberThatRarelySuspectsOthers() {
    forEachSeed(
        7,
        cluster -> {
          cluster.delayDelivery(3, 1000);
          cluster.run(60_000);
          assertNoDeathDeclarations(cluster);
          assertTrue(cluster.member(3).localHealth() > 0, seedOf(cluster));
          long suspicions =
              cluster.stateChanges().stream()
                  .filter(
                      change -> change.observer() == 3 && change.newState() == MemberState.SUSPECT)
                  .count();
          assertTrue(
              suspicions <= 15,
              seedOf(cluster)
                  + ": the slow member suspected others "
                  + suspicions
                  + " times in a minute");
        });
  }

  @Test
  void rejoinsAfterLongPauseWithoutDeclaringOthersDead() {
    forEachSeed(
        7,
        cluster -> {
          cluster.pause(0, 30_000);
          cluster.run(30_000);
          assertTrue(cluster.isSeenByAllAs(0, MemberState.DEAD), seedOf(cluster));
          cluster.runUntil(
              15_000,
              "rejoined",
              () -> cluster.isSeenByAllAs(0, MemberState.ALIVE) && cluster.viewsEqual());
          assertNoDeathDeclarations(cluster, 0);
        });
  }
}
