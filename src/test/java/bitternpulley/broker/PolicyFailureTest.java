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

  /**
   * Plays two requests to their end, each attempt answered after 50 ms, while one call into the
   * policy throws; returns the number of calls.
   */
  private static int playWithFailureAt(int failingCall) {
    Settings settings = ReducerHarness.settings(Settings.Idempotency.IDEMPOTENT);
    AtomicInteger calls = new AtomicInteger();
    ReducerHarness harness =
        new ReducerHarness(
            settings,
            actions ->
                failingAt(
                    new RoutingPolicy(settings, ReducerHarness.SEED, ReducerHarness.START, actions),
                    failingCall,
                    calls));
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
    return (Router)
        Proxy.newProxyInstance(
            Router.class.getClassLoader(),
            new Class<?>[] {Router.class},
            (proxy, method, arguments) -> {
              if ((calls.get() > 0 || method.getName().equals("onQuery"))
                  && calls.incrementAndGet() == failingCall) {
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
