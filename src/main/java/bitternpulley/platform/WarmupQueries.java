package bitternpulley.platform;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.ProtocolAdapter;
import bitternpulley.broker.Reducer;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.net.EventLoop;
import bitternpulley.net.FrameCodec;
import bitternpulley.net.HttpHead;
import bitternpulley.net.HttpParser;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/**
 * Warms up the JVM before the program is ready: runs synthetic queries through decoding, broker,
 * routing policy and encoding, so that the first real queries do not wait for class loading and
 * compilation. The warm-up uses its own broker, clock and servers, which are discarded: nothing is
 * sent over a socket, and no statistics are kept.
 */
public final class WarmupQueries implements ProtocolAdapter {
  private static final System.Logger LOG = System.getLogger(WarmupQueries.class.getName());

  /** Number of queries run before the program is ready. */
  private static final int STARTUP_QUERIES = 150;

  /**
   * Number of queries run before the program is ready in a very large fleet, in which each
   * aggregator has little of the traffic and should be ready soon.
   */
  private static final int STARTUP_QUERIES_IN_LARGE_FLEET = 20;

  /** Time after the start of the warm-up at which it stops starting queries, in ms. */
  private static final double MAX_STARTUP_MS = 600;

  /** Total number of queries run if the warm-up continues in the background. */
  private static final int TOTAL_QUERIES = 200;

  /** Interval between queries in the background, in ms. */
  private static final double BACKGROUND_INTERVAL_MS = 20;

  /** Number of queries run in one turn of the event loop. */
  private static final int QUERIES_PER_TURN = 5;

  /** Interval between queries on the virtual clock, in ms. */
  private static final double VIRTUAL_INTERVAL_MS = 20;

  private static final double NANOS_PER_MS = 1e6;

  /** Every n-th attempt fails. */
  private static final int FAIL_EVERY = 13;

  /** Every n-th attempt is rejected. */
  private static final int REJECT_EVERY = 19;

  /** Every n-th attempt gets no answer. */
  private static final int NO_ANSWER_EVERY = 17;

  private static final String VALUE = "5be2a07c19f04d63";

  private record ScheduledTask(double time, Runnable task) {}

  private final SyntheticQueries queries;
  private final int maxBodyBytes;
  private final EventLoop loop;
  private final Broker broker;
  private final QueryFrontend queryFrontend;
  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(Comparator.comparingDouble(ScheduledTask::time));
  private final List<Effect.StartAttempt> unansweredAttempts = new ArrayList<>();

  /** The virtual time in ms. */
  private double time = 1;

  /** Whether the warm-up runs while clients are served, whom large queries would delay. */
  private boolean inBackground;

  private int queriesRun;
  private int attemptCount;
  private int queriesAnswered;

  /**
   * Creates a warm-up.
   *
   * @param settings the routing settings of this instance
   * @param maxBodyBytes the maximum size of a query's body
   * @param loop the event loop to run on
   */
  public WarmupQueries(Settings settings, int maxBodyBytes, EventLoop loop) {
    this.queries = new SyntheticQueries(settings, maxBodyBytes);
    this.maxBodyBytes = maxBodyBytes;
    this.loop = loop;
    broker =
        new Broker(
            new Reducer(settings, 1, time),
            () -> time,
            (ms, task) -> scheduledTasks.add(new ScheduledTask(time + ms, task)));
    queryFrontend =
        new QueryFrontend(
            settings,
            broker,
            this,
            () -> false,
            () -> TenantIdentification.NONE,
            RequestIdMemory.ofProcess());
    broker.addProtocolAdapter(this);
    broker.submit(
        new Event.ServersChanged(
            Router.EndpointListKind.PERSISTED,
            IntStream.range(0, settings.layout().cells())
                .mapToObj(
                    cell ->
                        new Router.Endpoint("r" + cell, cell % 2, cell, Router.ServerState.LIVE, 0))
                .toList()));
  }

  /**
   * Runs queries, a few in each turn of the event loop.
   *
   * @param largeFleet whether very many aggregators share the traffic, so that a short warm-up has
   *     to suffice
   * @param done called when all queries were run or the time is over
   */
  public void run(boolean largeFleet, Runnable done) {
    long endNanos = System.nanoTime() + (long) (MAX_STARTUP_MS * NANOS_PER_MS);
    runTurn(largeFleet ? STARTUP_QUERIES_IN_LARGE_FLEET : STARTUP_QUERIES, endNanos, done);
  }

  private void runTurn(int queryCount, long endNanos, Runnable done) {
    boolean succeeded = true;
    for (int run = 0; run < QUERIES_PER_TURN && succeeded; run++) {
      succeeded = tryRunOne();
    }
    if (succeeded && queriesRun < queryCount && System.nanoTime() < endNanos) {
      // Scheduled, since execute() would run the task in this turn, before discovery is read.
      loop.schedule(0, () -> runTurn(queryCount, endNanos, done));
    } else {
      done.run();
    }
  }

  /**
   * Continues in the background until the JVM has compiled the code, with one query in each turn of
   * the event loop.
   */
  public void continueInBackground() {
    inBackground = true;
    if (queriesRun < TOTAL_QUERIES && tryRunOne()) {
      loop.schedule(BACKGROUND_INTERVAL_MS, this::continueInBackground);
    }
  }

  /** The number of queries answered. */
  int queriesAnswered() {
    return queriesAnswered;
  }

  /** The number of queries run. */
  int queriesRun() {
    return queriesRun;
  }

  /**
   * Runs one query; returns false after a failure. Catches every failure, since a defect of the
   * warm-up must not keep the program from becoming ready.
   */
  private boolean tryRunOne() {
    try {
      runOne();
      return true;
    } catch (RuntimeException | Error failure) {
      LOG.log(Level.WARNING, "The JVM warm-up ends early, at query " + queriesRun, failure);
      return false;
    }
  }

  /** Runs one query and answers the attempts that it started. */
  void runOne() {
    int number = queriesRun++;
    String text = inBackground ? queries.smallQuery(number) : queries.query(number);
    HttpParser parser = new HttpParser(false, maxBodyBytes, new SyntheticClient());
    parser.read(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    time += VIRTUAL_INTERVAL_MS;
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().time() <= time) {
      scheduledTasks.poll().task().run();
    }
    List<Effect.StartAttempt> started = List.copyOf(unansweredAttempts);
    unansweredAttempts.clear();
    started.forEach(this::answer);
  }

  /**
   * Answers an attempt like a slot server, with encoding and decoding of the frames. Every {@link
   * #NO_ANSWER_EVERY}-th attempt gets no answer.
   */
  private void answer(Effect.StartAttempt attempt) {
    attemptCount++;
    String partId = SlotFrames.partId(attempt);
    SlotFrames.encodeCall(List.of(SlotFrames.callSection(attempt, partId)));
    if (attemptCount % NO_ANSWER_EVERY == 0) {
      return;
    }
    ByteBuffer frame = SlotFrames.encodeResult(partId, statusOf(attemptCount), VALUE);
    new FrameCodec().read(frame, result -> submitResult(attempt, result));
  }

  private static ResultStatus statusOf(int attemptNumber) {
    if (attemptNumber % FAIL_EVERY == 0) {
      return ResultStatus.ERROR;
    }
    return attemptNumber % REJECT_EVERY == 0 ? ResultStatus.REJECTED : ResultStatus.SERVED;
  }

  private void submitResult(Effect.StartAttempt attempt, FrameCodec.Frame frame) {
    SlotFrames.Result result = SlotFrames.decodeResult(attempt.server(), frame.payload());
    broker.submit(new Event.AttemptEnded(attempt.id(), result.outcome(), result.value()));
  }

  @Override
  public void start(Effect.StartAttempt attempt) {
    unansweredAttempts.add(attempt);
  }

  @Override
  public void cancel(Effect.CancelAttempt attempt) {
    SlotFrames.encodeCancel(String.valueOf(attempt.id().part()));
    broker.submit(new Event.AttemptCancelled(attempt.id()));
  }

  @Override
  public void reply(Effect.Reply reply) {
    queryFrontend.reply(reply);
  }

  @Override
  public void cancelUnsentTo(String server) {
    // The synthetic servers never drain.
  }

  @Override
  public void cancelUnsent(Effect.CancelUnsent attempt) {
    // Nothing waits to be sent.
  }

  @Override
  public void closeIdleConnections(String server) {
    // There are no connections.
  }

  /** Passes one parsed query to the front end, as an HTTP server would, and counts the answer. */
  private final class SyntheticClient implements HttpParser.Sink, HttpServer.Exchange {
    private HttpHead requestHead;
    private byte[] requestBody = new byte[0];

    @Override
    public void head(HttpHead head) {
      requestHead = head;
    }

    @Override
    public void body(ByteBuffer piece) {
      requestBody = new byte[piece.remaining()];
      piece.get(requestBody);
    }

    @Override
    public void end() {
      queryFrontend.handle(new HttpServer.Request(requestHead, requestBody), this);
    }

    @Override
    public void reply(HttpServer.Response response) {
      queriesAnswered += response.status() == 200 ? 1 : 0;
    }

    @Override
    public void onDisconnect(Runnable callback) {
      // The synthetic clients never disconnect.
    }
  }
}
