package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests when a part is sent again after an attempt has ended. */
class RetryPolicyTest {
  private static PolicyHarness harnessWithNonIdempotentPart() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.idempotency(Settings.Idempotency.NON_IDEMPOTENT))
            .hedgingAllowed()
            .build();
    harness.query(1, 3000, shards(0));
    return harness;
  }

  @Test
  void failsANonIdempotentPartThatMayHaveRun() {
    PolicyHarness harness = harnessWithNonIdempotentPart();
    harness.advanceTo(40);
    harness.endAttempt(10, 0, Router.Outcome.RESET);
    assertEquals(List.of("fail 1 @40"), harness.results);
    assertEquals(1, harness.sentCount(10));
  }

  @Test
  void retriesANonIdempotentPartProvenNotToHaveRun() {
    PolicyHarness harness = harnessWithNonIdempotentPart();
    harness.advanceTo(40);
    harness.endAttempt(10, 0, Router.Outcome.REJECTED);
    assertEquals(2, harness.sentCount(10));
    harness.endAttempt(10, 1, Router.Outcome.OK);
    assertEquals(List.of("complete 1 @40"), harness.results);
  }

  @Test
  void retriesAKeyedPartWithinItsWindow() {
    PolicyHarness harness = keyedPartThatFailsAfter(300);
    assertEquals(2, harness.sentCount(10));
  }

  @Test
  void doesNotRetryAKeyedPartAfterItsWindow() {
    PolicyHarness harness = keyedPartThatFailsAfter(500);
    assertEquals(1, harness.sentCount(10));
    assertEquals(1, harness.results.size());
  }

  /** The idempotency window of the class is 400 ms. */
  private static PolicyHarness keyedPartThatFailsAfter(double elapsedMs) {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.idempotency(Settings.Idempotency.KEYED))
            .build();
    harness.query(1, 3000, shards(0));
    harness.advanceTo(elapsedMs);
    harness.endAttempt(10, 0, Router.Outcome.ERROR);
    return harness;
  }

  @Test
  void keepsRetriesWithinTheBudget() {
    PolicyHarness harness = PolicyHarness.builder().retryBudget(2, 0).build();
    harness.query(1, 3000, shards(0, 1, 2, 3));
    harness.advanceTo(10);
    for (int i = 0; i < 4; i++) {
      harness.endAttempt(10 + i, 0, Router.Outcome.REJECTED);
    }
    assertEquals(6, harness.sends.size());
    harness.advanceTo(900);
    assertEquals(6, harness.sends.size());
  }

  @ParameterizedTest
  @EnumSource(
      value = Router.Outcome.class,
      names = {"UNREACHABLE", "REJECTED"})
  void backsOffAfterAllReplicasWereTried(Router.Outcome outcome) {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.query(1, 3000, shards(0));
    harness.endAttempt(10, 0, outcome);
    harness.endAttempt(10, 1, outcome);
    assertEquals(2, harness.sentCount(10), "both replicas were tried");
    harness.advanceTo(150);
    assertEquals(2, harness.sentCount(10));
    harness.advanceTo(900);
    assertEquals(3, harness.sentCount(10), "one replica is tried again after a pause");
    harness.endAttempt(10, 2, Router.Outcome.OK);
    assertEquals(List.of("complete 1 @900"), harness.results);
  }

  @Test
  void rejectsAQueryThatResetsEveryConnection() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.query(1, 3000, shards(0, 1, 2, 3));
    for (int i = 0; i < 4; i++) {
      harness.advanceTo(10 + i);
      harness.endAttempt(10 + i, 0, Router.Outcome.RESET);
    }
    // After every connection was reset without any answer, one part is sent again; the query ends
    // when the connection of that part is reset as well.
    assertEquals(5, harness.sends.size());
    long retriedPart = harness.sends.get(4).part();
    harness.advanceTo(20);
    harness.endAttempt(retriedPart, 1, Router.Outcome.RESET);
    assertEquals(List.of("reject 1 @20"), harness.results);
    harness.advanceTo(2000);
    assertEquals(5, harness.sends.size());
  }

  @Test
  void retriesAResetPartOnceAnotherPartIsAnswered() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.query(1, 3000, shards(0, 1, 2, 3));
    harness.advanceTo(10);
    harness.endAttempt(10, 0, Router.Outcome.RESET);
    assertEquals(4, harness.sends.size());
    harness.endAttempt(11, 0, Router.Outcome.OK);
    assertEquals(5, harness.sends.size());
    assertEquals(2, harness.sentCount(10));
  }
}
