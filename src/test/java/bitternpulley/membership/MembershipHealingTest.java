package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.settledCluster;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Wrong values of a member that another one has accepted, in virtual time by seed. */
class MembershipHealingTest {
  private static final int SEEDS = 3;
  private static final int HOLDER = 0;
  private static final int SUBJECT = 1;
  private static final int REPORTER = 2;

  /** Ms by which an accepted epoch is later than the subject's own. */
  private static final int EPOCH_LEAD_MS = 14;

  /** Every member probes every other within a round; one more for the answer to be disseminated. */
  private static double twoRounds(SimulatedCluster cluster) {
    return 2 * cluster.size() * MembershipSettings.DEFAULT.interval() + 5000;
  }

  /** Regression: the subject never learned of a later epoch that another member had accepted. */
  @ParameterizedTest
  @CsvSource({"3,2", "3,6", "3,20", "5,2", "5,6", "5,20", "20,2", "20,6", "20,20"})
  void aWrongLaterEpochHealsOnceTheSubjectCanBeReached(int size, int cutSeconds) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = settledCluster(size, seed);
      cluster.cut(HOLDER, SUBJECT);
      long wrongEpoch = cluster.member(SUBJECT).epoch() + EPOCH_LEAD_MS;
      cluster.deliver(SUBJECT, HOLDER, GossipMessages.ping(SUBJECT, wrongEpoch, 1));
      cluster.run(cutSeconds * 1000.0);
      cluster.healAll();
      cluster.runUntil(
          twoRounds(cluster), "views equal", () -> cluster.viewsEqual() && cluster.allAlive());
    }
  }

  /** Regression: nothing was logged while a member was ignored for minutes. */
  @Test
  void warnsOnceOfAMemberWhoseMessagesAreIgnored() {
    SimulatedCluster cluster = settledCluster(5, 1);
    cluster.cut(HOLDER, SUBJECT);
    long epoch = cluster.member(SUBJECT).epoch();
    cluster.deliver(SUBJECT, HOLDER, GossipMessages.ping(SUBJECT, epoch + EPOCH_LEAD_MS, 1));
    cluster.run(60_000);
    assertEquals(
        List.of(new MembershipAction.MemberIgnored(SUBJECT, epoch + EPOCH_LEAD_MS, epoch)),
        cluster.warnings());
  }

  /** A restart that is not noticed otherwise, with an epoch before that of the earlier process. */
  @ParameterizedTest
  @ValueSource(ints = {3, 5, 20})
  void aQuickRestartWithTheClockSetBackIsAccepted(int size) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = settledCluster(size, seed);
      cluster.kill(SUBJECT);
      cluster.setClockOffset(SUBJECT, -3_600_000);
      cluster.start(SUBJECT);
      cluster.runUntil(
          twoRounds(cluster), "views equal", () -> cluster.viewsEqual() && cluster.allAlive());
      assertEquals(
          1,
          IntStream.range(0, size)
              .mapToLong(number -> epochAt(cluster, number))
              .distinct()
              .count());
    }
  }

  /** Regression: a wrong zone of a member stayed until it restarted. */
  @ParameterizedTest
  @ValueSource(ints = {5, 20})
  void wrongMetadataHealsByTheSubjectsOwnReport(int size) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(size, seed, MembershipSettings.DEFAULT);
      MemberMetadata wrong = new MemberMetadata("n" + SUBJECT, "spoiled", "r", "b");
      GossipUpdate report =
          new GossipUpdate(
              SUBJECT,
              cluster.member(SUBJECT).epoch(),
              0,
              MemberState.ALIVE,
              GossipUpdate.NO_ACCUSER,
              wrong);
      cluster.deliver(
          REPORTER,
          HOLDER,
          GossipMessages.sync(REPORTER, cluster.member(REPORTER).epoch(), report));
      cluster.runUntil(
          5000, "wrong zone recorded", () -> wrong.equals(metadataAt(cluster, HOLDER)));
      MemberMetadata right = cluster.member(SUBJECT).members().get(SUBJECT).metadata();
      cluster.runUntil(
          tenSyncRounds(cluster),
          "zone corrected at all",
          () ->
              IntStream.range(0, size)
                  .allMatch(observer -> right.equals(metadataAt(cluster, observer))));
    }
  }

  /** A member sends its own metadata to one other every ten intervals. */
  private static double tenSyncRounds(SimulatedCluster cluster) {
    return 10 * cluster.size() * 10 * MembershipSettings.DEFAULT.interval();
  }

  private static MemberMetadata metadataAt(SimulatedCluster cluster, int observer) {
    return cluster.member(observer).members().get(SUBJECT).metadata();
  }

  private static long epochAt(SimulatedCluster cluster, int observer) {
    return cluster.member(observer).members().get(SUBJECT).epoch();
  }
}
