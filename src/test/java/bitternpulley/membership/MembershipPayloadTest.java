package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.forEachSeed;
import static bitternpulley.membership.MembershipScenarios.seedOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests payloads that members publish to all others, in virtual time with fixed seeds. */
class MembershipPayloadTest {
  private static final int PUBLISHER = 1;
  private static final int HOSTILE_MEMBER = 6;

  private static byte[] payloadSeenBy(SimulatedCluster cluster, int observer) {
    return cluster.member(observer).members().get(PUBLISHER).reachability().payload();
  }

  private static boolean allSee(SimulatedCluster cluster, byte[] payload) {
    return IntStream.range(0, cluster.size())
        .filter(cluster::isRunning)
        .allMatch(observer -> Arrays.equals(payloadSeenBy(cluster, observer), payload));
  }

  @ParameterizedTest
  @ValueSource(ints = {7, 100})
  void disseminatesLatestPayloadToAllMembersDespiteLoss(int size) {
    forEachSeed(
        size,
        cluster -> {
          byte[] first = new byte[ReachabilityReport.MAX_PAYLOAD_BYTES];
          byte[] second = {1, 2, 3};
          cluster.setNetwork(NetworkConditions.NORMAL.withLossRate(0.2));
          cluster.member(PUBLISHER).publish(first);
          cluster.run(100);
          cluster.member(PUBLISHER).publish(second);
          cluster.runUntil(30_000, "all receive second payload", () -> allSee(cluster, second));
          cluster.run(10_000);
          assertTrue(allSee(cluster, second), seedOf(cluster));
        });
  }

  @Test
  void clearsPayloadOnRestartAndAcceptsNextOne() {
    forEachSeed(
        5,
        cluster -> {
          byte[] beforeRestart = {1};
          byte[] afterRestart = {2};
          cluster.member(PUBLISHER).publish(beforeRestart);
          cluster.runUntil(15_000, "published", () -> allSee(cluster, beforeRestart));
          cluster.kill(PUBLISHER);
          cluster.run(300);
          cluster.start(PUBLISHER);
          cluster.runUntil(
              15_000,
              "cleared",
              () ->
                  IntStream.of(0, 2, 3, 4)
                      .allMatch(observer -> payloadSeenBy(cluster, observer).length == 0));
          cluster.member(PUBLISHER).publish(afterRestart);
          cluster.runUntil(15_000, "published again", () -> allSee(cluster, afterRestart));
        });
  }

  @Test
  void correctsPayloadForgedInNameOfMember() {
    forEachSeed(
        7,
        cluster -> {
          byte[] own = {7};
          cluster.member(PUBLISHER).publish(own);
          cluster.runUntil(15_000, "published", () -> allSee(cluster, own));
          deliverForgery(cluster, new MemberPayload(50, new byte[] {1, 0, 66}));
          cluster.run(100);
          assertTrue(Arrays.equals(payloadSeenBy(cluster, 2), new byte[] {66}));
          cluster.runUntil(30_000, "corrected", () -> allSee(cluster, own));
          deliverForgery(cluster, new MemberPayload(Integer.MAX_VALUE, new byte[] {66}));
          cluster.run(3000);
          assertTrue(allSee(cluster, own), seedOf(cluster));
        });
  }

  private static void deliverForgery(SimulatedCluster cluster, MemberPayload forged) {
    GossipUpdate update =
        new GossipUpdate(
            PUBLISHER,
            cluster.member(PUBLISHER).epoch(),
            0,
            MemberState.ALIVE,
            GossipUpdate.NO_ACCUSER,
            null,
            forged);
    cluster.deliver(
        HOSTILE_MEMBER,
        2,
        GossipMessages.sync(HOSTILE_MEMBER, cluster.member(HOSTILE_MEMBER).epoch(), update));
  }
}
