package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The core with a wire that fails in places. */
public class BrokerTest implements Dialect {
  private record Due(double at, Runnable task) {}

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(java.util.Comparator.comparingDouble(Due::at));
  private final List<Effect.Answer> answers = new ArrayList<>();
  private final List<AttemptId> started = new ArrayList<>();
  private final Set<String> faults = new HashSet<>();
  private double now;
  private Broker broker;

  @BeforeMethod
  public void begin() {
    due.clear();
    answers.clear();
    started.clear();
    faults.clear();
    now = 1000;
    Settings.QueryClass kind =
        new Settings.QueryClass(
            "any", 1, 1000, 0, 3000, 0.3, Settings.Idempotency.KEYED, 400, false, 1, 1, 0.8, 0);
    Settings settings =
        new Settings(
            0,
            1,
            0,
            5,
            false,
            List.of(kind),
            List.of(),
            1,
            false,
            new Settings.Layout(4, 4, 2, 1),
            new Settings.Limits(4, 50, true, false, true, 500, 250),
            new Settings.Rules(0.2, 10_000, 2, 1000, false, 0, 0, 0),
            new Settings.Costs(0.05, 0));
    broker =
        new Broker(
            new Reducer(settings, 7, now),
            () -> now,
            (ms, task) -> due.add(new Due(now + ms, task)));
    broker.submit(
        new Event.ServersChanged(
            Router.ListKind.REMEMBERED,
            IntStream.range(0, 4)
                .mapToObj(i -> new Router.Endpoint("s" + i, i % 2, i, Router.ServerState.LIVE, 0))
                .toList()));
  }

  private void failOnce(String step) {
    if (faults.remove(step)) {
      throw new IllegalStateException("as asked for, in " + step);
    }
  }

  @Override
  public void start(Effect.StartAttempt attempt) {
    failOnce("start");
    started.add(attempt.id());
    due.add(
        new Due(
            now + 50,
            () -> broker.submit(new Event.AttemptEnded(attempt.id(), Router.Outcome.OK, null))));
  }

  @Override
  public void cancel(Effect.CancelAttempt attempt) {
    failOnce("abandon");
    broker.submit(new Event.AttemptCancelled(attempt.id()));
  }

  @Override
  public void cancelUnsentTo(String server) {
    failOnce("withdraw");
  }

  @Override
  public void cancelUnsent(Effect.CancelUnsent attempt) {
    failOnce("take back");
  }

  @Override
  public void reply(Effect.Reply reply) {
    failOnce("reply");
    answers.add(reply.answer());
  }

  @Override
  public void closeIdleConnections(String server) {
    failOnce("close");
  }

  private void askAndPlay() {
    broker.submit(
        new Event.RequestReceived(
            new Request(
                broker.nextId(),
                this,
                0,
                3000,
                false,
                Router.Terms.CLASS_DEFAULT,
                List.of(new Request.QueryPart(0, 1, 0)),
                null)));
    while (!due.isEmpty() && due.peek().at() < 10_000) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
  }

  /**
   * Guards against an attempt that stays out for good since its wire failed on it: its part is
   * tried elsewhere at once.
   */
  @Test
  public void anAttemptThatItsWireFailsOnHasEnded() {
    faults.add("start");
    askAndPlay();
    assertEquals(started, List.of(new AttemptId(1, 1)), "the second try");
    assertEquals(answers.size(), 1);
    assertTrue(answers.get(0) instanceof Effect.Answer.Answered, answers.toString());
  }

  /** Guards against a client that never hears, since its answer could not be worded. */
  @Test
  public void aClientWhoseAnswerFailsIsToldThatItFailed() {
    faults.add("reply");
    askAndPlay();
    assertEquals(answers.size(), 1);
    assertTrue(answers.get(0) instanceof Effect.Answer.Failed, answers.toString());
    assertEquals(broker.pendingRequests(), 0);
  }
}
