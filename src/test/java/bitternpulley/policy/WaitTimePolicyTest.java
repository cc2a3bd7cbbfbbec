package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how long a query waits for its parts. */
class WaitTimePolicyTest {
  private static PolicyHarness harnessWithPartialAnswers() {
    return PolicyHarness.builder().queryClass(queryClass -> queryClass.minimumShare(0.5)).build();
  }

  private static void sendQueryAndAnswerTwoHeaviestPartsAfter50Ms(PolicyHarness harness, long id) {
    harness.query(id, 3000, shards(0, 1, 2, 3), 0.4, 0.3, 0.2, 0.1);
    harness.advanceBy(50);
    harness.endAttempt(10 * id, 0, Router.Outcome.OK);
    harness.endAttempt(10 * id + 1, 0, Router.Outcome.OK);
  }

  @Test
  void treatsFewStepsAsAnEmptyRecord() {
    PolicyHarness harness = harnessWithPartialAnswers();
    harness.answerQueries(19, 100);
    double start = harness.now;
    sendQueryAndAnswerTwoHeaviestPartsAfter50Ms(harness, 2);
    harness.advanceTo(start + 900);
    assertEquals(19, harness.results.size());
    harness.advanceTo(start + 1000);
    assertEquals("partial 2 @" + (long) (start + 997), harness.results.get(19));
  }

  @Test
  void answersCompletelyOnceAllPartsHaveArrived() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.answerQuery(1, 50);
    assertEquals(List.of("complete 1 @50"), harness.results);
    harness.endAttempt(10, 0, Router.Outcome.OK);
    harness.policy.onClientDisconnected(1, harness.now, harness);
    assertEquals(1, harness.results.size());
  }

  @Test
  void waitsForTheLatestRecordedArrivalBeforeTheObjective() {
    PolicyHarness harness = harnessWithPartialAnswers();
    harness.answerQuery(1, 300);
    harness.answerQueries(19, 100);
    double start = harness.now;
    sendQueryAndAnswerTwoHeaviestPartsAfter50Ms(harness, 3);
    harness.advanceTo(start + 299);
    assertEquals(20, harness.results.size());
    // The base wait is 300 ms. The two heaviest parts are answered, so the wait is not extended.
    harness.advanceTo(start + 301);
    assertEquals("partial 3 @" + (long) (start + 300), harness.results.get(20));
  }

  @Test
  void extendsTheWaitWhileHeavyPartsAreMissing() {
    PolicyHarness harness = harnessWithPartialAnswers();
    harness.query(3, 3000, shards(0, 1, 2, 3), 0.4, 0.3, 0.2, 0.1);
    harness.advanceTo(100);
    harness.endAttempt(30, 0, Router.Outcome.OK);
    harness.endAttempt(32, 0, Router.Outcome.OK);
    harness.advanceTo(900);
    assertTrue(harness.results.isEmpty());
    // With an empty record the query waits for the objective, after which an answer has no payoff.
    harness.advanceTo(1200);
    assertEquals(List.of("partial 3 @997"), harness.results);
  }

  @Test
  void extendsHalfwayToTheDeadlineWithAnEmptyRecord() {
    // The objective is at 997 and the deadline at 2997, so the extension ends at 1997.
    assertEquals(List.of("partial 3 @1997"), resultsWithSixTenthsAnswered(0.6));
  }

  @Test
  void doesNotExtendPastTheObjectiveForALowerPayoff() {
    assertEquals(List.of("partial 3 @997"), resultsWithSixTenthsAnswered(0.3));
  }

  private static List<String> resultsWithSixTenthsAnswered(double latePriorityWeight) {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(
                queryClass -> queryClass.latePriorityWeight(latePriorityWeight).minimumShare(0.5))
            .build();
    harness.query(3, 3000, shards(0, 1, 2, 3), 0.4, 0.3, 0.2, 0.1);
    harness.advanceTo(100);
    harness.endAttempt(30, 0, Router.Outcome.OK);
    harness.endAttempt(32, 0, Router.Outcome.OK);
    harness.advanceTo(2500);
    return harness.results;
  }

  @Test
  void recordsAnUnansweredPartShortlyBeforeTheObjective() {
    PolicyHarness harness = harnessWithPartialAnswers();
    harness.answerQueries(20, 100);
    double start = harness.now;
    sendQueryAndAnswerTwoHeaviestPartsAfter50Ms(harness, 2);
    harness.advanceTo(start + 150);
    assertEquals(21, harness.results.size());
    // The next query waits until its objective, not for 100 ms as before.
    start = harness.now;
    sendQueryAndAnswerTwoHeaviestPartsAfter50Ms(harness, 3);
    harness.advanceTo(start + 800);
    assertEquals(21, harness.results.size());
  }

  @Test
  void rejectsBelowTheMinimumShare() {
    PolicyHarness harness = harnessWithPartialAnswers();
    harness.query(1, 3000, shards(0, 1, 2, 3), 0.4, 0.3, 0.2, 0.1);
    harness.advanceTo(100);
    harness.endAttempt(10, 0, Router.Outcome.OK);
    harness.advanceTo(3000);
    assertEquals(List.of("reject 1 @997"), harness.results);
  }

  @Test
  void answersBothStepsCompletely() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.minimumShare(0.5).secondStepParts(2))
            .build();
    harness.query(1, 3000, shards(0, 1));
    harness.advanceTo(50);
    harness.endAttempt(10, 0, Router.Outcome.OK);
    harness.endAttempt(11, 0, Router.Outcome.OK);
    harness.advanceTo(51);
    harness.parts(1, 90, shards(0, 1));
    harness.advanceTo(80);
    harness.endAttempt(90, 0, Router.Outcome.OK);
    harness.endAttempt(91, 0, Router.Outcome.OK);
    assertEquals(List.of("complete 1 @50", "complete 1 @80"), harness.results);
  }
}
