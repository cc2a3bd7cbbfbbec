package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.QueryClassBuilder;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the single final answer of a request, and when no answer is sent. */
public class RequestAnswerTest {
  private ReducerHarness harness;

  @BeforeMethod
  public void setUp() {
    harness = new ReducerHarness(ReducerHarness.settings(Settings.Idempotency.IDEMPOTENT));
  }

  @Test
  public void answersCompleteRequestOnceFromItsValues() {
    harness.request(1, 0, 1);
    harness.end(0, Router.Outcome.OK, "a");
    assertEquals(harness.pendingRequests(), 1);
    harness.end(1, Router.Outcome.OK, "b");
    Effect.Answer.Answered answer = (Effect.Answer.Answered) harness.answer(0);
    assertTrue(answer.complete());
    assertEquals(answer.values().toString(), "{0=TestValue[text=a], 1=TestValue[text=b]}");
    harness.end(1, Router.Outcome.OK, "again");
    harness.submit(new Event.ClientDisconnected(1));
    assertEquals(harness.replies().size(), 1);
    assertEquals(harness.pendingRequests(), 0);
  }

  @Test
  public void failsRatherThanRejectsKeyedRequestThatMayHaveRun() {
    harness = new ReducerHarness(ReducerHarness.settings(Settings.Idempotency.KEYED));
    harness.request(1, 0);
    harness.advance(500);
    harness.end(0, Router.Outcome.RESET, null);
    assertEquals(harness.attempts().size(), 1, "the idempotency window has passed");
    assertTrue(harness.answer(0) instanceof Effect.Answer.Failed);
  }

  @Test
  public void cancelsAttemptsOfDisconnectedClientWithoutAnswering() {
    harness.request(1, 0, 1);
    harness.submit(new Event.ClientDisconnected(1));
    assertEquals(harness.cancellations().size(), 2);
    assertEquals(harness.replies().size(), 0);
    assertEquals(harness.pendingRequests(), 0);
  }

  @Test
  public void endsInvalidRequestAtTheFirstServerThatRejectsIt() {
    harness.request(1, 0, 1);
    harness.submit(
        new Event.RequestRejectedByServer(harness.attempt(0).id(), new TestValue("parse")));
    assertEquals(harness.answer(0), new Effect.Answer.InvalidRequest(new TestValue("parse")));
    assertEquals(harness.attempts().size(), 2);
    assertEquals(harness.cancellations().size(), 1);
    assertEquals(harness.replies().size(), 1);
  }

  /** A short timeout must not be mistaken for a retry that has already used most of its time. */
  @Test
  public void acceptsShortTimeoutSetByTheClientAndGivesNoPartialAnswer() {
    Settings.QueryClass halfSuffices = new QueryClassBuilder().minimumShare(0.5).build();
    harness =
        new ReducerHarness(ReducerHarness.settings(halfSuffices, ReducerHarness.limits().build()));
    for (int i = 0; i < 10; i++) {
      harness.request(10 + i, 0);
      harness.end(i, Router.Outcome.OK, "a");
    }
    harness.clearEffects();
    submit(new RequestBuilder(1).timeLeft(800).terms(new Router.Terms(true, true)).shards(0, 1));
    assertEquals(
        harness.attempts().size(),
        2,
        "a short timeout set by the client does not cause a rejection");
    harness.end(0, Router.Outcome.OK, "a");
    harness.advance(800);
    harness.submit(new Event.AlarmFired("q1"));
    assertFalse(harness.answer(0) instanceof Effect.Answer.Answered, "half is not complete");
  }

  /** If the event loop lags, the request ends earlier than the client's deadline. */
  @Test
  public void countsRequestEndedEarlyBecauseOfLoopLagAsTimedOut() {
    submit(
        new RequestBuilder(1)
            .terms(new Router.Terms(true, true))
            .lateness(new Router.Lateness(0, 300)));
    harness.advance(2700);
    harness.submit(new Event.AlarmFired("q1"));
    assertTrue(((Effect.Answer.Rejected) harness.answer(0)).finalState().timedOut());
  }

  @Test
  public void doesNotCountRequestWithVeryShortTimeoutAsTimedOutFromTheStart() {
    harness.submit(new Event.ServersChanged(Router.EndpointListKind.COMPLETE, List.of()));
    submit(new RequestBuilder(1).timeLeft(80));
    assertFalse(((Effect.Answer.Rejected) harness.answer(0)).finalState().timedOut());
  }

  private void submit(RequestBuilder request) {
    harness.submit(new Event.RequestReceived(request.build()));
  }
}
