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

/** Tests when attempts are sent, cancelled and retried. */
public class AttemptLifecycleTest {
  private ReducerHarness harness;

  @BeforeMethod
  public void setUp() {
    harness = new ReducerHarness(ReducerHarness.settings(Settings.Idempotency.IDEMPOTENT));
  }

  @Test
  public void retriesOnlyAfterTheServerWasNotifiedOfTheCancellation() {
    harness.request(1, 0);
    harness.advance(200);
    harness.submit(new Event.AttemptTimedOut(harness.attempt(0).id()));
    assertEquals(harness.cancellations().size(), 1);
    harness.submit(new Event.AttemptTimedOut(harness.attempt(0).id()));
    assertEquals(harness.cancellations().size(), 1);
    assertEquals(harness.attempts().size(), 1);
    harness.submit(new Event.AttemptCancelled(harness.attempt(0).id()));
    assertEquals(harness.attempts().size(), 2);
    assertFalse(harness.attempt(1).server().equals(harness.attempt(0).server()));
  }

  /** Hedged requests that are never sent must not use up the attempts of the part. */
  @Test
  public void retriesOnAnotherServerWhenTheFirstIsUnresponsiveAndHedgingIsAllowed() {
    harness =
        new ReducerHarness(
            ReducerHarness.settings(
                new QueryClassBuilder().build(),
                ReducerHarness.limits().hedgingAllowed(true).build()));
    for (int i = 0; i < 10; i++) {
      harness.request(100 + i, 2);
      harness.advance(10);
      harness.end(i, Router.Outcome.OK, "a");
    }
    harness.clearEffects();
    harness.request(1, 0);
    // The alarm may fire up to 40 times; none may use up an attempt that is not sent.
    for (int i = 0; i < 40 && harness.cancellations().isEmpty(); i++) {
      harness.advance(50);
      harness.submit(new Event.AlarmFired("q1"));
    }
    assertEquals(harness.attempts().size(), 1);
    assertEquals(harness.cancellations().size(), 1, "cancelled before the client's deadline");
    harness.submit(new Event.AttemptCancelled(harness.attempt(0).id()));
    assertEquals(harness.attempt(1).id().number(), 1);
    assertFalse(harness.attempt(1).server().equals(harness.attempt(0).server()));
    harness.end(1, Router.Outcome.OK, "b");
    assertEquals(
        ((Effect.Answer.Answered) harness.answer(0)).values().toString(), "{0=TestValue[text=b]}");
  }

  @Test
  public void acceptsAnswerThatArrivesAfterCancellation() {
    harness.request(1, 0);
    harness.advance(200);
    harness.submit(new Event.AttemptTimedOut(harness.attempt(0).id()));
    harness.end(0, Router.Outcome.OK, "a");
    harness.submit(new Event.AttemptCancelled(harness.attempt(0).id()));
    assertEquals(
        ((Effect.Answer.Answered) harness.answer(0)).values().toString(), "{0=TestValue[text=a]}");
  }

  @Test
  public void sendsNoMoreAttemptsPerPartThanTheLimit() {
    harness.request(1, 0);
    for (int i = 0; i < 4; i++) {
      harness.advance(10);
      harness.end(i, Router.Outcome.ERROR, "no");
    }
    assertEquals(harness.attempts().size(), 4);
    Effect.Answer.Rejected rejected = (Effect.Answer.Rejected) harness.answer(0);
    assertTrue(rejected.finalState().mayHaveRun());
    assertFalse(rejected.finalState().timedOut());
    assertEquals(rejected.finalState().missing().get(0).reason(), new TestValue("no"));
  }

  @Test
  public void limitsSendTimeOfKeyedRetryToIdempotencyWindow() {
    harness = new ReducerHarness(ReducerHarness.settings(Settings.Idempotency.KEYED));
    harness.request(1, 0);
    assertEquals(harness.attempt(0).sendBy(), Double.POSITIVE_INFINITY);
    harness.advance(10);
    harness.end(0, Router.Outcome.REJECTED, null);
    harness.awaitAttempt(1);
    assertEquals(
        harness.attempt(1).sendBy(), Double.POSITIVE_INFINITY, "the first attempt never ran");
    double secondSentAt = harness.now();
    harness.advance(10);
    harness.end(1, Router.Outcome.ERROR, null);
    harness.awaitAttempt(2);
    assertEquals(
        harness.attempt(2).sendBy(),
        secondSentAt + 400,
        "the window starts with the first attempt that may have run");
  }

  @Test
  public void cancelsUnsentAttemptsToServerThatDrainsOrLeavesTheList() {
    harness.request(1, 0);
    String first = harness.attempt(0).server();
    int cell = Integer.parseInt(first.substring(1));
    Router.Endpoint draining = new Router.Endpoint(first, 0, cell, Router.ServerState.DRAINING, 0);
    harness.submit(TestServers.change(draining));
    assertEquals(
        harness.effectsOf(Effect.CancelUnsentTo.class), List.of(new Effect.CancelUnsentTo(first)));
    harness.end(0, Router.Outcome.NOT_SENT, null);
    String second = harness.attempt(1).server();
    assertFalse(second.equals(first));
    harness.submit(new Event.ServersChanged(Router.EndpointListKind.COMPLETE, List.of(draining)));
    assertEquals(
        harness.effectsOf(Effect.CancelUnsentTo.class),
        List.of(new Effect.CancelUnsentTo(first), new Effect.CancelUnsentTo(second)));
  }

  @Test
  public void cancelsUnsentAttemptsOfFinishedRequestWhenCancellationIsForbidden() {
    harness =
        new ReducerHarness(
            ReducerHarness.settings(
                new QueryClassBuilder().build(),
                ReducerHarness.limits().cancellationAllowed(false).build()));
    harness.request(1, 0, 1);
    assertEquals(harness.attempts().size(), 2);
    harness.submit(new Event.ClientDisconnected(1));
    assertEquals(
        harness.effectsOf(Effect.CancelUnsent.class).stream().map(Effect.CancelUnsent::id).toList(),
        harness.attempts().stream().map(Effect.StartAttempt::id).toList());
    assertEquals(harness.cancellations(), List.of());
    harness.end(0, Router.Outcome.NOT_SENT, null);
    harness.end(1, Router.Outcome.NOT_SENT, null);
    assertEquals(harness.replies(), List.of());
  }

  /** One alarm per part would wake the process very often for requests of very many parts. */
  @Test
  public void usesOneTimeoutAlarmForAllAttemptsOfARequest() {
    harness.request(1, 0, 1, 2, 3);
    List<Effect.ScheduleEvent> alarms = timeoutAlarms();
    assertEquals(alarms.size(), 1);
    harness.end(0, Router.Outcome.OK, "a");
    harness.advanceTo(alarms.get(0).time());
    harness.submit(alarms.get(0).event());
    assertEquals(
        harness.cancellations().stream().map(Effect.CancelAttempt::id).toList(),
        List.of(harness.attempt(1).id(), harness.attempt(2).id(), harness.attempt(3).id()));
  }

  @Test
  public void setsSharedAlarmAgainForAttemptsThatTimeOutLater() {
    harness.request(1, 0, 1);
    double later = timeoutAlarms().get(0).time() + 100;
    AttemptId first = harness.attempt(0).id();
    harness.submit(new Event.AttemptTimedOut(first, first.part(), 2));
    assertEquals(harness.cancellations().size(), 1);
    assertEquals(timeoutAlarms().size(), 2);
    harness.advanceTo(later);
    harness.submit(timeoutAlarms().get(1).event());
    assertEquals(harness.cancellations().size(), 2);
  }

  private List<Effect.ScheduleEvent> timeoutAlarms() {
    return harness.effectsOf(Effect.ScheduleEvent.class).stream()
        .filter(alarm -> alarm.event() instanceof Event.AttemptTimedOut)
        .toList();
  }
}
