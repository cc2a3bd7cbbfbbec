package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.policy.RoutingPolicy;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.testng.annotations.Test;

/** Tests that no request is lost when the routing policy throws. */
public class PolicyFailureTest {
  private static final double DEADLINE = ReducerHarness.START + 3000;
  private static final double END = 10_000;

  private record ScheduledEvent(double time, Event event) {}

  @Test
  public void answersEachRequestOnceByItsDeadlineWhicheverPolicyCallFails() {
    int calls = runWithFailureAt(-1);
    assertTrue(calls > 10, "calls: " + calls);
    for (int call = 1; call <= calls; call++) {
      runWithFailureAt(call);
    }
  }

  /** It is not known which requests the policy would have decided on when an alarm failed. */
  @Test
  public void endsEveryPendingRequestAtItsDeadlineAfterAFailedAlarm() {
    Settings settings = ReducerHarness.settings(Settings.Idempotency.IDEMPOTENT);
    ReducerHarness harness =
        new ReducerHarness(
            settings, actions -> throwingIn(policy(settings, actions), "onAlarm"::equals));
    harness.request(1, 0);
    harness.request(2, 1);
    List<Effect> deadlines =
        List.of(
            new Effect.ScheduleEvent(DEADLINE, new Event.RequestDeadlineExpired(1)),
            new Effect.ScheduleEvent(DEADLINE, new Event.RequestDeadlineExpired(2)));
    assertEquals(harness.submit(new Event.AlarmFired("q1")), deadlines);
    assertEquals(
        harness.submit(new Event.AlarmFired("q1")), List.of(), "each request already has an alarm");
    harness.advanceTo(DEADLINE);
    harness.submit(new Event.RequestDeadlineExpired(1));
    harness.submit(new Event.RequestDeadlineExpired(2));
    assertEquals(harness.replies().size(), 2);
    assertTrue(harness.answer(0) instanceof Effect.Answer.Failed);
    assertTrue(harness.answer(1) instanceof Effect.Answer.Failed);
    assertEquals(harness.pendingRequests(), 0);
  }

  /**
   * Runs two requests to their end, with each attempt answered after 50 ms, while one call of the
   * policy throws; returns the number of calls.
   */
  private static int runWithFailureAt(int failingCall) {
    Settings settings = ReducerHarness.settings(Settings.Idempotency.IDEMPOTENT);
    AtomicInteger calls = new AtomicInteger();
    ReducerHarness harness =
        new ReducerHarness(
            settings, actions -> failingAt(policy(settings, actions), failingCall, calls));
    PriorityQueue<ScheduledEvent> scheduledEvents =
        new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::time));
    harness.request(1, 0, 1);
    harness.request(2, 2, 3);
    schedule(harness.effectsOf(Effect.class), ReducerHarness.START, scheduledEvents);
    while (!scheduledEvents.isEmpty() && scheduledEvents.peek().time() <= END) {
      ScheduledEvent next = scheduledEvents.poll();
      harness.advanceTo(next.time());
      List<Effect> effects = harness.submit(next.event());
      assertTrue(
          next.time() <= DEADLINE || effects.stream().noneMatch(Effect.Reply.class::isInstance),
          "answered late, with a failure at call " + failingCall);
      schedule(effects, next.time(), scheduledEvents);
    }
    assertEquals(
        harness.replies().stream().map(reply -> reply.request().id()).sorted().toList(),
        List.of(1L, 2L),
        "one final answer each, with a failure at call " + failingCall);
    assertEquals(harness.pendingRequests(), 0);
    return calls.get();
  }

  private static Router policy(Settings settings, Router.Actions actions) {
    return new RoutingPolicy(settings, ReducerHarness.SEED, ReducerHarness.START, actions);
  }

  /** Schedules the events by which servers and the timer respond to effects. */
  private static void schedule(
      List<Effect> effects, double now, PriorityQueue<ScheduledEvent> scheduledEvents) {
    for (Effect effect : effects) {
      if (effect instanceof Effect.StartAttempt start) {
        scheduledEvents.add(
            new ScheduledEvent(
                now + 50,
                new Event.AttemptEnded(start.id(), Router.Outcome.OK, new TestValue("v"))));
      } else if (effect instanceof Effect.CancelAttempt cancel) {
        scheduledEvents.add(new ScheduledEvent(now + 1, new Event.AttemptCancelled(cancel.id())));
      } else if (effect instanceof Effect.ScheduleEvent scheduled) {
        scheduledEvents.add(new ScheduledEvent(Math.max(scheduled.time(), now), scheduled.event()));
      }
    }
  }

  /** Wraps a router so that one call throws; calls are counted from the first query on. */
  private static Router failingAt(Router router, int failingCall, AtomicInteger calls) {
    return throwingIn(
        router,
        method ->
            (calls.get() > 0 || method.equals("onQuery"))
                && calls.incrementAndGet() == failingCall);
  }

  /** Wraps a router so that calls of the methods whose names match {@code failing} throw. */
  private static Router throwingIn(Router router, Predicate<String> failing) {
    return (Router)
        Proxy.newProxyInstance(
            Router.class.getClassLoader(),
            new Class<?>[] {Router.class},
            (proxy, method, arguments) -> {
              if (failing.test(method.getName())) {
                throw new IllegalStateException("Simulated failure in " + method.getName());
              }
              try {
                return method.invoke(router, arguments);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }
}
