package bitternpulley.membership;

import static bitternpulley.membership.MembershipScenarios.settledCluster;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that wrong values that one member has accepted about another are corrected, in virtual time
 * with fixed seeds.
 */
class MembershipHealingTest {
  private static final int SEEDS = 3;
  private static final int OBSERVER = 0;
  private static final int SUBJECT = 1;
  private static final int REPORTER = 2;

  /** Ms by which the wrong epoch is later than the subject's own. */
  private static final int EPOCH_LEAD_MS = 14;

  /**
   * Time for every member to probe every other in one round, and for the answers to be disseminated
   * in another.
   */
  private static double twoRounds(SimulatedCluster cluster) {
    return 2 * cluster.size() * MembershipSettings.DEFAULT.interval() + 5000;
  }

  /**
   * Regression: the subject never learned that another member had accepted a later epoch for it.
   */
  @ParameterizedTest
  @CsvSource({"3,2", "3,6", "3,20", "5,2", "5,6", "5,20", "20,2", "20,6", "20,20"})
  void correctsWrongLaterEpochOnceSubjectIsReachable(int size, int cutSeconds) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = settledCluster(size, seed);
      cluster.cut(OBSERVER, SUBJECT);
      long wrongEpoch = cluster.member(SUBJECT).epoch() + EPOCH_LEAD_MS;
      cluster.deliver(SUBJECT, OBSERVER, GossipMessages.ping(SUBJECT, wrongEpoch, 1));
      cluster.run(cutSeconds * 1000.0);
      cluster.healAll();
      cluster.runUntil(
          twoRounds(cluster), "views equal", () -> cluster.viewsEqual() && cluster.allAlive());
    }
  }

  /** Regression: nothing was logged while the messages of a member were ignored for minutes. */
  @Test
  void warnsOnceAboutMemberWithIgnoredMessages() {
    SimulatedCluster cluster = settledCluster(5, 1);
    cluster.cut(OBSERVER, SUBJECT);
    long epoch = cluster.member(SUBJECT).epoch();
    cluster.deliver(SUBJECT, OBSERVER, GossipMessages.ping(SUBJECT, epoch + EPOCH_LEAD_MS, 1));
    cluster.run(60_000);
    assertEquals(
        List.of(new MembershipAction.MemberIgnored(SUBJECT, epoch + EPOCH_LEAD_MS, epoch)),
        cluster.warnings());
  }

  /**
   * The restart is too quick to be noticed otherwise, and the epoch of the new process is earlier
   * than that of the previous one.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 5, 20})
  void acceptsQuickRestartWithClockSetBack(int size) {
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

  /** Regression: a wrong zone stayed recorded until the member restarted. */
  @ParameterizedTest
  @ValueSource(ints = {5, 20})
  void correctsWrongMetadataByReportOfSubject(int size) {
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
          OBSERVER,
          GossipMessages.sync(REPORTER, cluster.member(REPORTER).epoch(), report));
      cluster.runUntil(
          5000, "wrong zone recorded", () -> wrong.equals(metadataAt(cluster, OBSERVER)));
      MemberMetadata right = cluster.member(SUBJECT).members().get(SUBJECT).metadata();
      cluster.runUntil(
          tenSyncRounds(cluster),
          "zone corrected on all members",
          () ->
              IntStream.range(0, size)
                  .allMatch(observer -> right.equals(metadataAt(cluster, observer))));
    }
  }

  /**
   * Time for ten rounds of syncs. A member sends its own metadata to one other member every ten
   * intervals, so a round takes ten intervals per member of the cluster.
   */
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
