package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.assertNoDeathDeclarations;
import static bitternpulley.membership.MembershipScenarios.forEachSeed;
import static bitternpulley.membership.MembershipScenarios.seedOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests the protection against a member that sends too many messages or false claims, in virtual
 * time with fixed seeds.
 */
class MembershipHostileMemberTest {
  private static final int HOSTILE_MEMBER = 6;
  private static final MemberState[] ACCUSATIONS = {
    MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT
  };

  @Test
  void limitsAnswersToFloodingMember() {
    forEachSeed(
        5,
        cluster -> {
          Membership receiver = cluster.member(0);
          long epoch = cluster.member(4).epoch();
          long ignored = receiver.ignoredMessages();
          int answers = 0;
          for (int sequence = 0; sequence < 10_000; sequence++) {
            GossipMessage ping = GossipMessages.ping(4, epoch, sequence);
            answers += receiver.onMessage(ping, cluster.now()).size();
          }
          assertTrue(answers < 600, seedOf(cluster) + ": " + answers);
          assertTrue(receiver.ignoredMessages() > ignored + 9000);
          cluster.run(20_000);
          assertNoDeathDeclarations(cluster);
          assertTrue(cluster.viewsEqual(), seedOf(cluster));
        });
  }

  @Test
  void removesNoMemberOnFalseAccusations() {
    forEachSeed(
        7,
        cluster -> {
          for (int round = 0; round < 300; round++) {
            accuseAll(cluster, round);
            cluster.run(100);
          }
          assertEquals(
              List.of(),
              cluster.stateChanges().stream()
                  .filter(
                      change -> change.member() != HOSTILE_MEMBER && isRemoval(change.newState()))
                  .toList(),
              seedOf(cluster));
          cluster.runUntil(
              30_000,
              "all alive",
              () ->
                  IntStream.range(0, HOSTILE_MEMBER)
                      .allMatch(number -> cluster.isSeenByAllAs(number, MemberState.ALIVE)));
        });
  }

  private static boolean isRemoval(MemberState state) {
    return state == MemberState.DEAD || state == MemberState.LEFT;
  }

  private static void accuseAll(SimulatedCluster cluster, int round) {
    for (int accused = 0; accused < HOSTILE_MEMBER; accused++) {
      GossipUpdate accusation =
          new GossipUpdate(
              accused,
              cluster.member(accused).epoch() + (round % 3 == 0 ? 1000 : 0),
              round % 7,
              ACCUSATIONS[round % ACCUSATIONS.length],
              round % 6,
              null);
      cluster.deliver(
          HOSTILE_MEMBER,
          (accused + 1 + round) % HOSTILE_MEMBER,
          GossipMessages.sync(HOSTILE_MEMBER, cluster.member(HOSTILE_MEMBER).epoch(), accusation));
    }
  }
}
