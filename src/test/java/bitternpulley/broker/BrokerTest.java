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

/** Tests that requests are still answered when a protocol adapter throws. */
public class BrokerTest {
  private static final double START = 1000;
  private static final double END = 10_000;

  private record ScheduledTask(double time, Runnable task) {}

  private enum Method {
    START,
    CANCEL,
    CANCEL_UNSENT_TO,
    CANCEL_UNSENT,
    REPLY,
    CLOSE_IDLE_CONNECTIONS
  }

  /** Answers each attempt after 50 ms; throws once in the method that a test selects. */
  private final class FailingProtocolAdapter implements ProtocolAdapter {
    private Method failing;

    void failNext(Method method) {
      failing = method;
    }

    private void throwIfFailing(Method method) {
      if (failing == method) {
        failing = null;
        throw new IllegalStateException("Simulated failure in " + method);
      }
    }

    @Override
    public void start(Effect.StartAttempt attempt) {
      throwIfFailing(Method.START);
      started.add(attempt.id());
      Event ended = new Event.AttemptEnded(attempt.id(), Router.Outcome.OK, null);
      scheduledTasks.add(new ScheduledTask(now + 50, () -> broker.submit(ended)));
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

  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(Comparator.comparingDouble(ScheduledTask::time));
  private final List<Effect.Answer> answers = new ArrayList<>();
  private final List<AttemptId> started = new ArrayList<>();
  private FailingProtocolAdapter protocolAdapter;
  private double now;
  private Broker broker;

  @BeforeMethod
  public void setUp() {
    scheduledTasks.clear();
    answers.clear();
    started.clear();
    now = START;
    protocolAdapter = new FailingProtocolAdapter();
    Settings.QueryClass keyed =
        new QueryClassBuilder().idempotency(Settings.Idempotency.KEYED).build();
    Settings settings =
        ReducerHarness.settings(keyed, ReducerHarness.limits().maxPending(50).build());
    broker =
        new Broker(
            new Reducer(settings, ReducerHarness.SEED, now),
            () -> now,
            (ms, task) -> scheduledTasks.add(new ScheduledTask(now + ms, task)));
    broker.submit(TestServers.live(4));
  }

  private void runOneRequest() {
    broker.submit(
        new Event.RequestReceived(
            new RequestBuilder(broker.nextRequestId()).protocolAdapter(protocolAdapter).build()));
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().time() < END) {
      ScheduledTask next = scheduledTasks.poll();
      now = Math.max(now, next.time());
      next.task().run();
    }
  }

  @Test
  public void retriesAttemptThatTheProtocolAdapterFailedToSend() {
    protocolAdapter.failNext(Method.START);
    runOneRequest();
    assertEquals(started, List.of(new AttemptId(1, 1)), "only the second attempt was sent");
    assertEquals(answers.size(), 1);
    assertTrue(answers.get(0) instanceof Effect.Answer.Answered, answers.toString());
  }

  @Test
  public void repliesWithFailureWhenTheProtocolAdapterFailedToWriteTheAnswer() {
    protocolAdapter.failNext(Method.REPLY);
    runOneRequest();
    assertEquals(answers.size(), 1);
    assertTrue(answers.get(0) instanceof Effect.Answer.Failed, answers.toString());
    assertEquals(broker.pendingRequests(), 0);
  }
}
