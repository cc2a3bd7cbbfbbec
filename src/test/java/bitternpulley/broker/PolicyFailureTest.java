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

/** Requests are not lost when the routing policy throws. */
public class PolicyFailureTest {
  private static final double DEADLINE = ReducerHarness.START + 3000;
  private static final double END = 10_000;

  private record Due(double at, Event event) {}

  @Test
  public void everyRequestIsAnsweredOnceInTimeWhicheverCallOfThePolicyFails() {
    int calls = playWithFailureAt(-1);
    assertTrue(calls > 10, "calls: " + calls);
    for (int call = 1; call <= calls; call++) {
      playWithFailureAt(call);
    }
  }

  /** Which requests a failed alarm was to decide on is not known. */
  @Test
  public void aFailureOfUnknownScopeEndsEveryPendingRequestAtItsDeadline() {
    Settings settings = ReducerHarness.settings(Settings.Idempotency.IDEMPOTENT);
    ReducerHarness harness =
        new ReducerHarness(
            settings, actions -> throwingIn(policy(settings, actions), "onAlarm"::equals));
    harness.request(1, 0);
    harness.request(2, 1);
    List<Effect> deadlines =
        List.of(
            new Effect.WakeAt(DEADLINE, new Event.RequestDeadlineExpired(1)),
            new Effect.WakeAt(DEADLINE, new Event.RequestDeadlineExpired(2)));
    assertEquals(harness.submit(new Event.AlarmFired("q1")), deadlines);
    assertEquals(harness.submit(new Event.AlarmFired("q1")), List.of(), "each has its alarm");
    harness.advanceTo(DEADLINE);
    harness.submit(new Event.RequestDeadlineExpired(1));
    harness.submit(new Event.RequestDeadlineExpired(2));
    assertEquals(harness.replies().size(), 2);
    assertTrue(harness.answer(0) instanceof Effect.Answer.Failed);
    assertTrue(harness.answer(1) instanceof Effect.Answer.Failed);
    assertEquals(harness.pendingRequests(), 0);
  }

  /**
   * Plays two requests to their end, each attempt answered after 50 ms, while one call into the
   * policy throws; returns the number of calls.
   */
  private static int playWithFailureAt(int failingCall) {
    Settings settings = ReducerHarness.settings(Settings.Idempotency.IDEMPOTENT);
    AtomicInteger calls = new AtomicInteger();
    ReducerHarness harness =
        new ReducerHarness(
            settings, actions -> failingAt(policy(settings, actions), failingCall, calls));
    PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at));
    harness.request(1, 0, 1);
    harness.request(2, 2, 3);
    schedule(harness.all(Effect.class), ReducerHarness.START, due);
    while (!due.isEmpty() && due.peek().at() <= END) {
      Due next = due.poll();
      harness.advanceTo(next.at());
      List<Effect> effects = harness.submit(next.event());
      assertTrue(
          next.at() <= DEADLINE || effects.stream().noneMatch(Effect.Reply.class::isInstance),
          "answered late, with a failure at call " + failingCall);
      schedule(effects, next.at(), due);
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
  private static void schedule(List<Effect> effects, double now, PriorityQueue<Due> due) {
    for (Effect effect : effects) {
      if (effect instanceof Effect.StartAttempt start) {
        due.add(
            new Due(
                now + 50,
                new Event.AttemptEnded(start.id(), Router.Outcome.OK, new TestValue("v"))));
      } else if (effect instanceof Effect.CancelAttempt cancel) {
        due.add(new Due(now + 1, new Event.AttemptCancelled(cancel.id())));
      } else if (effect instanceof Effect.WakeAt wake) {
        due.add(new Due(Math.max(wake.time(), now), wake.event()));
      }
    }
  }

  /** The router, except that one call, counted from the first query on, throws. */
  private static Router failingAt(Router router, int failingCall, AtomicInteger calls) {
    return throwingIn(
        router,
        method ->
            (calls.get() > 0 || method.equals("onQuery"))
                && calls.incrementAndGet() == failingCall);
  }

  /** The router, except for calls of methods, given by their names, in which it throws. */
  private static Router throwingIn(Router router, Predicate<String> failing) {
    return (Router)
        Proxy.newProxyInstance(
            Router.class.getClassLoader(),
            new Class<?>[] {Router.class},
            (proxy, method, arguments) -> {
              if (failing.test(method.getName())) {
                throw new IllegalStateException("Failure on purpose in " + method.getName());
              }
              try {
                return method.invoke(router, arguments);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }
}
