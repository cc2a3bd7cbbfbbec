package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.assertNoDeathDeclarations;
import static bitternpulley.membership.MembershipScenarios.forEachSeed;
import static bitternpulley.membership.MembershipScenarios.settledCluster;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests members that restart or leave, in virtual time with fixed seeds. */
class MembershipRestartTest {
  /** One member in ten per minute is down for 2 s or 15 s and restarts as a new process. */
  @Test
  void tracksRestartsAmongHundredMembersWithoutFalseDeclarations() {
    SimulatedCluster cluster = settledCluster(100, 1);
    int[] restarted = IntStream.range(0, 10).map(index -> 7 * index % 100).toArray();
    for (int index = 0; index < restarted.length; index++) {
      int number = restarted[index];
      cluster.kill(number);
      cluster.schedule(
          cluster.now() + (index % 2 == 0 ? 2000 : 15_000), () -> cluster.start(number));
      cluster.run(6000);
    }
    cluster.run(15_000);
    cluster.runUntil(60_000, "views equal", cluster::viewsEqual);
    assertTrue(cluster.allAlive());
    assertNoDeathDeclarations(cluster, restarted);
  }

  @Test
  void ignoresMessagesOfProcessBeforeRestart() {
    forEachSeed(
        5,
        cluster -> {
          GossipUpdate accusation =
              new GossipUpdate(2, cluster.member(2).epoch(), 0, MemberState.DEAD, 1, null);
          GossipMessage outdated = GossipMessages.ping(1, cluster.member(1).epoch(), 1, accusation);
          cluster.kill(1);
          cluster.run(300);
          cluster.start(1);
          cluster.runUntil(10_000, "restart known", cluster::viewsEqual);
          cluster.clearStateChanges();
          long ignored = cluster.member(0).ignoredMessages();
          cluster.perform(0, cluster.member(0).onMessage(outdated, cluster.now()));
          assertEquals(ignored + 1, cluster.member(0).ignoredMessages());
          assertEquals(List.of(), cluster.stateChanges());
        });
  }

  @Test
  void rejoinsAfterRestartWithClockSetBack() {
    forEachSeed(
        5,
        cluster -> {
          cluster.kill(1);
          cluster.setClockOffset(1, -3_600_000);
          cluster.start(1);
          cluster.runUntil(
              15_000,
              "later epoch of the restarted member known",
              () -> cluster.viewsEqual() && cluster.isSeenByAllAs(1, MemberState.ALIVE));
        });
  }

  @Test
  void announcesLeaveToAllMembersWithinSeconds() {
    forEachSeed(
        7,
        cluster -> {
          cluster.perform(3, cluster.member(3).leave(cluster.now()));
          cluster.run(20);
          cluster.kill(3);
          cluster.runUntil(6000, "left", () -> cluster.isSeenByAllAs(3, MemberState.LEFT));
          assertNoDeathDeclarations(cluster);
        });
  }
}
