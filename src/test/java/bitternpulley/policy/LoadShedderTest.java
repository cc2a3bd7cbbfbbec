package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which queries are admitted, and when. */
class LoadShedderTest {
  @Test
  void doesNotMistakeFirstAttemptsForClientRetries() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    for (int i = 1; i < 10; i++) {
      harness.query(i, 1800, shards(0));
      harness.endAttempt(i * 10L, 0, Router.Outcome.OK);
    }
    harness.query(20, 2300, shards(0));
    harness.endAttempt(200, 0, Router.Outcome.OK);
    harness.query(21, 1800, shards(0));
    assertEquals(1, harness.sentCount(210));
    // A query whose objective has passed is rejected before anything is sent.
    harness.query(22, 1500, shards(0));
    assertEquals("reject 22 @0", harness.results.get(harness.results.size() - 1));
  }

  @Test
  void limitsThePartsInFlightOfANewInstance() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    for (int i = 0; i < 50; i++) {
      harness.query(1 + i, 3000, shards(0));
    }
    assertEquals(8, harness.sends.size());
    harness.advanceTo(3500);
    assertEquals(50, harness.results.size());
  }

  @Test
  void admitsATenantOverItsQuotaLast() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .settings(
                settings ->
                    settings
                        .tenants(
                            List.of(new Settings.Tenant("a", 0.5), new Settings.Tenant("b", 0.5)))
                        .overQuotaWeight(0.1))
            .build();
    for (int i = 0; i < 20; i++) {
      harness.query(1 + i, 3000, shards(0));
    }
    harness.policy.onQuery(new Router.Query(50, 50, 0, 1, 0, false, 3000, 1), 0, harness);
    harness.parts(50, 500, shards(0));
    assertEquals(0, harness.sentCount(500));
    harness.endAttempt(10, 0, Router.Outcome.OK);
    assertEquals(1, harness.sentCount(500));
    assertEquals(0, harness.sentCount(200));
  }

  @Test
  void lowersTheLimitAfterLateAnswers() {
    PolicyHarness harness = PolicyHarness.builder().build();
    for (int i = 0; i < 60; i++) {
      harness.query(1 + i, 3000, shards(i % 4));
      harness.advanceBy(600);
      harness.endAttempt(10L * (1 + i), 0, Router.Outcome.OK);
    }
    harness.sends.clear();
    for (int i = 0; i < 50; i++) {
      harness.query(100 + i, 3000, shards(i % 4));
    }
    assertEquals(4, harness.sends.size());
  }

  @Test
  void keepsTheLimitAfterLateAnswersOfASlowOutlier() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.deadline(9000).latePriorityWeight(0.3))
            .replicas(1)
            .build();
    harness.answerQueries(10, 20);
    for (int i = 0; i < 60; i++) {
      harness.query(100 + 2 * i, 9000, shards(0));
      harness.query(101 + 2 * i, 9000, shards(1));
      harness.advanceBy(20);
      harness.endAttempt(10L * (101 + 2 * i), 0, Router.Outcome.OK);
      harness.advanceBy(580);
      harness.endAttempt(10L * (100 + 2 * i), 0, Router.Outcome.OK);
    }
    harness.sends.clear();
    for (int i = 0; i < 8; i++) {
      harness.query(500 + i, 9000, shards(1));
    }
    assertEquals(8, harness.sends.size());
  }

  @Test
  void admitsOneQueryRegardlessOfEstimatesWhenNothingIsInFlight() {
    PolicyHarness harness = PolicyHarness.builder().build();
    harness.answerQueries(30, 900);
    harness.query(1, 3000, shards(0));
    assertEquals(1, harness.sentCount(10));
    harness.query(2, 3000, shards(0));
    assertEquals(0, harness.sentCount(20));
    assertTrue(harness.results.stream().anyMatch(result -> result.startsWith("reject 2")));
  }
}
