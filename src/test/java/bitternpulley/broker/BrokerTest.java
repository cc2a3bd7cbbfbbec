package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.QueryClassBuilder;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What the broker does when its dialect throws. */
public class BrokerTest {
  private static final double START = 1000;
  private static final double END = 10_000;

  private record Due(double at, Runnable task) {}

  private enum Method {
    START,
    CANCEL,
    CANCEL_UNSENT_TO,
    CANCEL_UNSENT,
    REPLY,
    CLOSE_IDLE_CONNECTIONS
  }

  /** Answers each attempt after 50 ms; throws once in the method that a test asks for. */
  private final class FailingDialect implements Dialect {
    private Method failing;

    void failNext(Method method) {
      failing = method;
    }

    private void throwIfFailing(Method method) {
      if (failing == method) {
        failing = null;
        throw new IllegalStateException("Failure on purpose in " + method);
      }
    }

    @Override
    public void start(Effect.StartAttempt attempt) {
      throwIfFailing(Method.START);
      started.add(attempt.id());
      Event ended = new Event.AttemptEnded(attempt.id(), Router.Outcome.OK, null);
      due.add(new Due(now + 50, () -> broker.submit(ended)));
    }

    @Override
    public void cancel(Effect.CancelAttempt attempt) {
      throwIfFailing(Method.CANCEL);
      broker.submit(new Event.AttemptCancelled(attempt.id()));
    }

    @Override
    public void cancelUnsentTo(String server) {
      throwIfFailing(Method.CANCEL_UNSENT_TO);
    }

    @Override
    public void cancelUnsent(Effect.CancelUnsent attempt) {
      throwIfFailing(Method.CANCEL_UNSENT);
    }

    @Override
    public void reply(Effect.Reply reply) {
      throwIfFailing(Method.REPLY);
      answers.add(reply.answer());
    }

    @Override
    public void closeIdleConnections(String server) {
      throwIfFailing(Method.CLOSE_IDLE_CONNECTIONS);
    }
  }

  private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at));
  private final List<Effect.Answer> answers = new ArrayList<>();
  private final List<AttemptId> started = new ArrayList<>();
  private FailingDialect dialect;
  private double now;
  private Broker broker;

  @BeforeMethod
  public void begin() {
    due.clear();
    answers.clear();
    started.clear();
    now = START;
    dialect = new FailingDialect();
    Settings.QueryClass keyed =
        new QueryClassBuilder().idempotency(Settings.Idempotency.KEYED).build();
    Settings settings =
        ReducerHarness.settings(keyed, ReducerHarness.limits().maxPending(50).build());
    broker =
        new Broker(
            new Reducer(settings, ReducerHarness.SEED, now),
            () -> now,
            (ms, task) -> due.add(new Due(now + ms, task)));
    broker.submit(TestServers.live(4));
  }

  private void playOneRequest() {
    broker.submit(
        new Event.RequestReceived(new RequestBuilder(broker.nextId()).dialect(dialect).build()));
    while (!due.isEmpty() && due.peek().at() < END) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
  }

  @Test
  public void retriesAnAttemptThatTheDialectFailedToSend() {
    dialect.failNext(Method.START);
    playOneRequest();
    assertEquals(started, List.of(new AttemptId(1, 1)), "the second attempt");
    assertEquals(answers.size(), 1);
    assertTrue(answers.get(0) instanceof Effect.Answer.Answered, answers.toString());
  }

  @Test
  public void repliesWithAFailureWhereTheDialectFailedToWriteTheAnswer() {
    dialect.failNext(Method.REPLY);
    playOneRequest();
    assertEquals(answers.size(), 1);
    assertTrue(answers.get(0) instanceof Effect.Answer.Failed, answers.toString());
    assertEquals(broker.pendingRequests(), 0);
  }
}
