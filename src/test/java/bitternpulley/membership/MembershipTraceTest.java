package bitternpulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.trace.TraceDigest;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares digests of all messages and state changes of seeded runs with recorded digests. The runs
 * cover normal operation, message loss, cut paths, pauses and restarts.
 */
class MembershipTraceTest {
  private static final Path RECORDED_DIGESTS = Path.of("src/test/resources/traces/membership.txt");

  private static final List<GossipMessage.Kind> KINDS = List.of(GossipMessage.Kind.values());
  private static final List<MemberState> STATES = List.of(MemberState.values());

  private interface Scenario {
    void schedule(SimulatedCluster cluster);
  }

  private static String digestOf(int size, long seed, Scenario scenario) {
    SimulatedCluster cluster = new SimulatedCluster(size, seed, MembershipSettings.DEFAULT);
    TraceDigest digest = new TraceDigest();
    cluster.observeMessages(
        message ->
            digest.add(
                cluster.now(),
                KINDS.indexOf(message.kind()),
                message.from(),
                message.epoch(),
                message.incarnation(),
                message.sequence(),
                message.target(),
                message.viewDigest(),
                message.payloadDigest(),
                message.updates().size(),
                message.updates().stream()
                    .mapToLong(
                        update ->
                            31L * update.number()
                                + 7L * update.epoch()
                                + update.incarnation() * 5L
                                + STATES.indexOf(update.state()) * 3L
                                + update.accuser())
                    .sum()));
    scenario.schedule(cluster);
    cluster.run(60_000);
    cluster
        .stateChanges()
        .forEach(
            change ->
                digest.add(
                    change.observer(),
                    change.member(),
                    STATES.indexOf(change.previousState()),
                    STATES.indexOf(change.newState()),
                    change.time()));
    return digest.finish();
  }

  private static void applyMessageLoss(SimulatedCluster cluster) {
    cluster.setNetwork(
        NetworkConditions.NORMAL.withLossRate(0.15).withDuplicationRate(0.05).withMaxDelayMs(60));
  }

  private static void scheduleCuts(SimulatedCluster cluster) {
    for (int i = 0; i < 4; i++) {
      int number = i;
      cluster.schedule(cluster.now() + 8000 + 500 * i, () -> cluster.cut(number, 8 - number));
      cluster.schedule(cluster.now() + 8000 + 500 * i, () -> cluster.cut(8, number));
      cluster.schedule(cluster.now() + 35_000 + 500 * i, () -> cluster.heal(8, number));
    }
  }

  private static void schedulePauses(SimulatedCluster cluster) {
    cluster.schedule(cluster.now() + 8000, () -> cluster.pause(2, 4000));
    cluster.schedule(cluster.now() + 20_000, () -> cluster.pause(3, 25_000));
    cluster.delayDelivery(4, 700);
    cluster.setClockOffset(5, 250);
  }

  private static void scheduleRestarts(SimulatedCluster cluster) {
    cluster.schedule(cluster.now() + 8000, () -> cluster.kill(1));
    cluster.schedule(cluster.now() + 25_000, () -> cluster.start(1));
    cluster.schedule(cluster.now() + 30_000, () -> cluster.kill(6));
    cluster.schedule(cluster.now() + 30_500, () -> cluster.start(6));
    cluster.schedule(
        cluster.now() + 40_000, () -> cluster.perform(7, cluster.member(7).leave(cluster.now())));
    cluster.schedule(cluster.now() + 10_000, () -> cluster.member(3).publish(new byte[] {1, 2, 3}));
  }

  @Test
  void reproducesRecordedTraces() throws IOException {
    List<String> digests = new ArrayList<>();
    for (long seed = 1; seed <= 3; seed++) {
      digests.add("calm " + seed + " " + digestOf(9, seed, cluster -> {}));
      digests.add("loss " + seed + " " + digestOf(9, seed, MembershipTraceTest::applyMessageLoss));
      digests.add("cuts " + seed + " " + digestOf(9, seed, MembershipTraceTest::scheduleCuts));
      digests.add("pauses " + seed + " " + digestOf(9, seed, MembershipTraceTest::schedulePauses));
      digests.add(
          "restarts " + seed + " " + digestOf(9, seed, MembershipTraceTest::scheduleRestarts));
    }
    assertEquals(Files.readString(RECORDED_DIGESTS).trim(), String.join("\n", digests));
  }
}
