package bitternpulley.leases;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Tests that the sum of all quotas never exceeds the budget, and that the quota of dead members is
 * redistributed.
 */
class LeasesTest {
  private static final double DURATION_MS = 10_000;
  private static final double EFFECT_TIME_MS = 1250;
  private static final double TOLERANCE = 1e-9;
  private static final int SEEDS = 10;

  private static LeaseTerms terms(int members, int witnesses) {
    return new LeaseTerms(
        members, IntStream.range(0, witnesses).boxed().toList(), DURATION_MS, EFFECT_TIME_MS);
  }

  private static void assertBudgetNeverExceeded(SimulatedLeaseCluster cluster) {
    assertTrue(
        cluster.maxTotalQuota() <= 1 + TOLERANCE,
        "seed " + cluster.seed() + ": the sum of all quotas was " + cluster.maxTotalQuota());
  }

  private static void forEachSeed(
      int members, int witnesses, Consumer<SimulatedLeaseCluster> scenario) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedLeaseCluster cluster =
          new SimulatedLeaseCluster(terms(members, witnesses), seed).run(2.5 * DURATION_MS);
      scenario.accept(cluster);
      assertBudgetNeverExceeded(cluster);
    }
  }

  private static void assertQuotas(
      SimulatedLeaseCluster cluster, List<Integer> members, double quota) {
    members.forEach(
        member ->
            assertEquals(
                quota,
                cluster.quota(member),
                TOLERANCE,
                "seed " + cluster.seed() + ": member " + member));
  }

  @Test
  void startingMembersHaveEqualQuotasOnceEarlierLeasesHaveExpired() {
    SimulatedLeaseCluster cluster =
        new SimulatedLeaseCluster(terms(5, 3), 1).run(0.95 * DURATION_MS);
    assertQuotas(cluster, List.of(0, 1, 2, 3, 4), 0);
    assertQuotas(cluster.run(DURATION_MS), List.of(0, 1, 2, 3, 4), 1.0 / 5);
    assertBudgetNeverExceeded(cluster);
  }

  @Test
  void redistributesQuotaOfDeadMemberUntilItsNextProcessMayAct() {
    forEachSeed(
        5,
        3,
        cluster -> {
          cluster.kill(4);
          cluster.run(0.5 * DURATION_MS);
          assertQuotas(cluster, List.of(0, 1, 2, 3), 1.0 / 5);
          assertQuotas(cluster.run(DURATION_MS), List.of(0, 1, 2, 3), 1.0 / 4);
          cluster.start(4);
          cluster.run(0.8 * DURATION_MS);
          assertQuotas(cluster, List.of(4), 0);
          assertQuotas(cluster.run(DURATION_MS), List.of(0, 1, 2, 3, 4), 1.0 / 5);
        });
  }

  @Test
  void minorityOfPartitionLosesItsQuotaBeforeMajorityTakesIt() {
    List<Integer> minority = List.of(0, 1, 6);
    forEachSeed(
        7,
        5,
        cluster -> {
          cluster.partition(minority);
          assertQuotas(cluster.run(2 * DURATION_MS), minority, 0);
          assertQuotas(cluster, List.of(2, 3, 4, 5), 1.0 / 4);
          cluster.healPartition(minority);
          assertQuotas(cluster.run(2.5 * DURATION_MS), List.of(0, 1, 2, 3, 4, 5, 6), 1.0 / 7);
        });
  }

  /** Member 4 receives all messages, but no other member receives those that it sends. */
  @Test
  void memberWithFailedOutgoingLinksHasNoQuota() {
    forEachSeed(
        5,
        3,
        cluster -> {
          IntStream.range(0, 4).forEach(number -> cluster.cut(4, number));
          assertQuotas(cluster.run(2 * DURATION_MS), List.of(4), 0);
          assertQuotas(cluster, List.of(0, 1, 2, 3), 1.0 / 4);
        });
  }

  @Test
  void noMemberHasQuotaWithoutMajorityOfWitnesses() {
    forEachSeed(
        5,
        3,
        cluster -> {
          cluster.kill(0);
          assertQuotas(cluster.run(2 * DURATION_MS), List.of(1, 2, 3, 4), 1.0 / 4);
          cluster.kill(1);
          assertQuotas(cluster.run(2 * DURATION_MS), List.of(2, 3, 4), 0);
          cluster.start(0);
          assertQuotas(cluster.run(3 * DURATION_MS), List.of(0, 2, 3, 4), 1.0 / 4);
        });
  }

  @Test
  void resumedMemberHasNoQuotaUntilItHasRenewedItsLeases() {
    forEachSeed(
        5,
        3,
        cluster -> {
          cluster.pause(3, 30_000);
          cluster.run(29_999);
          assertQuotas(cluster, List.of(0, 1, 2, 4), 1.0 / 4);
          assertEquals(0, cluster.quota(3), TOLERANCE);
          assertQuotas(cluster.run(2.5 * DURATION_MS), List.of(0, 1, 2, 3, 4), 1.0 / 5);
        });
  }

  /** The seed selects kills, restarts, pauses, one-way cuts, partitions, message loss and delay. */
  @Property(tries = 100, seed = "20261202")
  void quotasNeverExceedTheBudgetUnderRandomFaults(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 9) int members,
      @ForAll @IntRange(min = 1, max = 5) int witnesses) {
    Random random = new Random(seed);
    SimulatedLeaseCluster cluster =
        new SimulatedLeaseCluster(terms(members, Math.min(witnesses, members)), seed);
    cluster.run(random.nextInt(25_000));
    for (int fault = 0; fault < 40; fault++) {
      causeRandomFault(cluster, random, members);
      cluster.run(random.nextInt(random.nextInt(4) == 0 ? 15_000 : 3000));
      assertBudgetNeverExceeded(cluster);
    }
  }

  private static void causeRandomFault(SimulatedLeaseCluster cluster, Random random, int members) {
    int member = random.nextInt(members);
    int other = random.nextInt(members);
    switch (random.nextInt(7)) {
      case 0 -> cluster.kill(member);
      case 1, 2 -> {
        if (!cluster.isRunning(member) || random.nextBoolean()) {
          cluster.start(member);
        }
      }
      case 3 -> cluster.pause(member, random.nextInt(20_000));
      case 4 -> cluster.toggleCut(member, other);
      case 5 -> partitionOrHeal(cluster, random, members);
      default ->
          cluster.setNetwork(
              random.nextInt(3) == 0 ? 0.4 * random.nextDouble() : 0,
              random.nextInt(3) == 0 ? 4000 : 20);
    }
  }

  private static void partitionOrHeal(SimulatedLeaseCluster cluster, Random random, int members) {
    List<Integer> side =
        random.ints(random.nextInt(members), 0, members).distinct().boxed().toList();
    if (random.nextBoolean()) {
      cluster.partition(side);
    } else {
      cluster.healPartition(side);
    }
  }

  /**
   * The holder's clock is 0.49% slow and the witness's clock 0.49% fast. The holder stops using the
   * lease before it expires at the witness.
   */
  @Property(tries = 50, seed = "20261202")
  void leaseEndsBeforeItExpiresOnClockOfAnotherRate(
      @ForAll @IntRange(min = 2000, max = 600_000) int durationMs) {
    LeaseTerms terms = new LeaseTerms(5, List.of(0), durationMs, EFFECT_TIME_MS);
    double slowHolderEnd = (terms.usableTime() + terms.effectTime()) / 0.9951;
    assertTrue(slowHolderEnd <= terms.expiryWait() / 1.0049);
    assertTrue(slowHolderEnd <= terms.withDriftMargin(terms.duration()) / 1.0049);
  }

  /** Member 2 of three, with a grant that was received at 5500 ms and has a delay of 5000 ms. */
  private static Leases leasesWithDelayedGrant() {
    Leases leases = new Leases(2, new LeaseTerms(3, List.of(0), DURATION_MS, EFFECT_TIME_MS));
    leases.start(5, 0);
    leases.tick(2500);
    leases.onMessage(new LeaseMessage.LeaseGrant(0, 1, 5000, new BitSet()), 5500);
    return leases;
  }

  @Test
  void countsDelayOfGrantFromItsReceipt() {
    Leases leases = leasesWithDelayedGrant();
    assertEquals(0, leases.status(10_000).usableLeases());
    assertEquals(1, leases.status(10_600).usableLeases());
    assertEquals(1, leases.status(10_600).activeMembers(), "the member counts itself");
  }

  @Test
  void stoppedMemberRequestsNoLeases() {
    Leases leases = leasesWithDelayedGrant();
    leases.stop();
    assertEquals(List.of(), leases.tick(20_000));
  }

  @Test
  void ignoresGrantsOfEarlierRequestsAndInvalidMessages() {
    Leases leases = new Leases(2, terms(3, 3));
    leases.start(5, 0);
    leases.tick(0);
    BitSet holders = new BitSet();
    holders.set(0, 3);
    assertEquals(List.of(), leases.onMessage(new LeaseMessage.LeaseGrant(1, 99, 0, holders), 10));
    leases.onMessage(new LeaseMessage.LeaseGrant(1, 2, Double.NaN, holders), 10);
    leases.onMessage(new LeaseMessage.LeaseRequest(7, 1, 1), 10);
    leases.onMessage(new LeaseMessage.LeaseRequest(-1, 1, 1), 10);
    assertEquals(4, leases.ignoredMessages());
    assertEquals(0, leases.status(20).usableLeases());
  }
}
