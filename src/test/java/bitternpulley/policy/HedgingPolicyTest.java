package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.endpoint;
import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests when a late attempt is cancelled or hedged. */
class HedgingPolicyTest {
  @Test
  void cancelsBeforeRetryingWhenHedgingIsNotAllowed() {
    PolicyHarness harness = PolicyHarness.builder().build();
    harness.answerQuery(1, 20);
    harness.query(2, 3000, shards(0));
    harness.advanceBy(900);
    assertEquals(1, harness.sentCount(20));
    assertFalse(harness.cancellations.isEmpty());
    harness.endAttempt(20, 0, Router.Outcome.CANCELLED);
    assertEquals(2, harness.sentCount(20));
  }

  @Test
  void hedgesAPartAtAnUnresponsiveServer() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.answerQuery(1, 20);
    harness.query(2, 3000, shards(0));
    harness.advanceBy(400);
    assertEquals(2, harness.sentCount(20));
    List<String> used =
        harness.sends.stream()
            .filter(send -> send.part() == 20)
            .map(PolicyHarness.Send::server)
            .collect(Collectors.toList());
    assertEquals(2, used.stream().distinct().count());
  }

  @Test
  void cancelsTheOlderOfTwoLateAttempts() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.latencyObjective(4000).deadline(9000))
            .hedgingAllowed()
            .replicas(4)
            .build();
    harness.answerQuery(1, 20);
    harness.query(2, 9000, shards(0));
    harness.advanceBy(1900);
    assertEquals(2, harness.sentCount(20));
    harness.advanceBy(1900);
    assertTrue(harness.cancellations.contains("20/0"), harness.cancellations.toString());
    harness.endAttempt(20, 0, Router.Outcome.CANCELLED);
    assertEquals(3, harness.sentCount(20));
    assertEquals(
        3,
        harness.sends.stream()
            .filter(send -> send.part() == 20)
            .map(PolicyHarness.Send::server)
            .distinct()
            .count());
  }

  @Test
  void hedgesAPartInASlowZoneByTheBaselineLatency() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().retryBudget(20, 0).build();
    for (int i = 0; i < 20; i++) {
      // Shard 1 is held by s1, which is in the other zone, and s2: both are slow for this instance.
      harness.query(100 + i, 3000, shards(0, 1));
      double start = harness.now;
      harness.advanceTo(start + 20);
      harness.endAttempt(10L * (100 + i), 0, Router.Outcome.OK);
      harness.advanceTo(start + 300);
      harness.endAttempt(10L * (100 + i) + 1, 0, Router.Outcome.OK);
    }
    double start = harness.now;
    harness.query(1, 3000, shards(0, 0, 0, 1));
    harness.advanceTo(start + 20);
    for (long part : new long[] {10, 11, 12}) {
      harness.endAttempt(part, 0, Router.Outcome.OK);
    }
    harness.advanceTo(start + 900);
    assertEquals(2, harness.sentCount(13));
  }

  @Test
  void cancelsAnAttemptAtTheOnlyReplicaOnlyAfterALongTime() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s1", 1, Router.ServerState.GONE, 0));
    harness.query(1, 3000, shards(0));
    harness.advanceTo(900);
    assertEquals(List.of(), harness.cancellations);
    harness.advanceTo(2000);
    assertEquals(List.of("10/0"), harness.cancellations, "cancelled after a long time");
  }

  @Test
  void cancelsAnAttemptAtAnOutlierAfterTwiceTheBaselineLatency() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.deadline(9000).latePriorityWeight(0.3))
            .build();
    harness.answerQueries(4, 100);
    String outlier = null;
    for (int i = 0; i < 3; i++) {
      long part = 10L * (50 + i);
      int before = harness.sends.size();
      harness.query(50 + i, 9000, shards(0));
      String server = harness.sends.get(before).server();
      assertTrue(outlier == null || outlier.equals(server), "each trial goes to the outlier");
      outlier = server;
      if (i < 2) {
        harness.endAttempt(part, 0, Router.Outcome.UNREACHABLE);
        harness.advanceBy(100);
        harness.endAttempt(part, 1, Router.Outcome.OK);
        harness.advanceBy(4500);
      }
    }
    harness.advanceBy(190);
    assertFalse(harness.cancellations.contains("520/0"));
    harness.advanceBy(110);
    assertTrue(
        harness.cancellations.contains("520/0"), "cancelled after twice the baseline of 100 ms");
  }

  @Test
  void cancelsAnAttemptAfterEightLaterPartsWereAnswered() {
    PolicyHarness harness = PolicyHarness.builder().replicas(1).build();
    harness.answerQueries(4, 20);
    harness.query(90, 3000, shards(0));
    harness.advanceBy(1);
    for (int i = 0; i < 8; i++) {
      assertFalse(harness.cancellations.contains("900/0"), i + " later answers");
      harness.query(100 + i, 3000, shards(0));
      assertEquals(1, harness.sentCount(10L * (100 + i)));
      harness.advanceBy(50);
      harness.endAttempt(10L * (100 + i), 0, Router.Outcome.OK);
    }
    harness.advanceBy(20);
    assertTrue(harness.cancellations.contains("900/0"), harness.cancellations.toString());
  }
}
