package bitternpulley.benchmark;

import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpClient;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.function.IntFunction;

/**
 * The clients of one tenant. Queries are sent at exponentially distributed intervals, independent
 * of how earlier queries end, and the latency of a query is measured from the time at which it was
 * due. A rejected query is retried, at once or after the time in its Retry-After header; it counts
 * as served if any attempt is served.
 */
final class TenantClients {
  /** When clients retry a rejected query. */
  enum RetryBehavior {
    /** At once. */
    IMMEDIATE,
    /** After the time in the Retry-After header; not at all without this header. */
    AFTER_RETRY_AFTER,
    /** As {@link #AFTER_RETRY_AFTER} for queries with an even number, at once for the others. */
    ALTERNATING
  }

  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_CONNECTIONS = 400;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** Counts of queries; the arrays count by the second of the run in which a query was due. */
  static final class Tally {
    final double[] due;
    final double[] servedInTime;
    int attempts;
    int queries;
    int retryAfterHonored;

    /** Retries sent after the time in a Retry-After header, excluding the warm-up. */
    int delayedRetries;

    int delayedRetriesServed;
    int partsServed;

    /** The seconds at the start of the run that are not counted. */
    final int warmUpSeconds;

    /** Creates a tally of a run of {@code seconds}. */
    Tally(int seconds, int warmUpSeconds) {
      this.warmUpSeconds = warmUpSeconds;
      due = new double[seconds];
      servedInTime = new double[seconds];
    }

    /** Returns the sum of the counts from second {@code from} to before second {@code to}. */
    double sum(double[] countBySecond, int from, int to) {
      double sum = 0;
      for (int second = Math.max(0, from); second < Math.min(to, countBySecond.length); second++) {
        sum += countBySecond[second];
      }
      return sum;
    }
  }

  private final EventLoop loop;
  private final HttpClient client;
  private final HostPort address;
  private final Random random;
  private final double queriesPerSecond;
  private final int partCount;
  private final RetryBehavior retryBehavior;
  private final double latencyObjectiveMs;
  private final double deadlineMs;
  private final IntFunction<String> requestByNumber;
  private final Tally tally;
  private double startMs;
  private double endMs;
  private double nextDueMs;
  private int queryCount;

  /**
   * Creates the clients of a tenant; {@code requestByNumber} returns the HTTP request of the n-th
   * query, which must ask for the same result at each attempt.
   */
  TenantClients(
      EventLoop loop,
      HostPort address,
      long seed,
      double queriesPerSecond,
      int partCount,
      RetryBehavior retryBehavior,
      double latencyObjectiveMs,
      double deadlineMs,
      int seconds,
      int warmUpSeconds,
      IntFunction<String> requestByNumber) {
    this.loop = loop;
    this.client = new HttpClient(loop, MAX_BODY_BYTES, MAX_CONNECTIONS, 1000, 2000);
    this.address = address;
    this.random = new Random(seed);
    this.queriesPerSecond = queriesPerSecond;
    this.partCount = partCount;
    this.retryBehavior = retryBehavior;
    this.latencyObjectiveMs = latencyObjectiveMs;
    this.deadlineMs = deadlineMs;
    this.requestByNumber = requestByNumber;
    this.tally = new Tally(seconds, warmUpSeconds);
  }

  private static double nowMs() {
    return System.nanoTime() / 1e6;
  }

  /** Starts to send queries, for as many seconds as the tally counts. */
  void start() {
    loop.execute(
        () -> {
          startMs = nowMs();
          endMs = startMs + 1000.0 * tally.due.length;
          nextDueMs = startMs + randomIntervalMs();
          sendDueQueries();
        });
  }

  Tally tally() {
    return tally;
  }

  private double randomIntervalMs() {
    return -Math.log(1 - random.nextDouble()) * 1000 / queriesPerSecond;
  }

  private void sendDueQueries() {
    while (nextDueMs <= nowMs() && nextDueMs < endMs) {
      int number = queryCount++;
      int second = (int) ((nextDueMs - startMs) / 1000);
      tally.queries++;
      tally.due[second]++;
      sendAttempt(number, second, nextDueMs, 1, false);
      nextDueMs += randomIntervalMs();
    }
    if (nextDueMs < endMs) {
      loop.schedule(Math.max(0, nextDueMs - nowMs()), this::sendDueQueries);
    }
  }

  private void sendAttempt(int number, int second, double dueMs, int attempt, boolean delayed) {
    tally.attempts++;
    HttpClient.Call call =
        client.send(
            address,
            new HttpClient.Request(
                ByteBuffer.wrap(requestByNumber.apply(number).getBytes(StandardCharsets.UTF_8)),
                Double.POSITIVE_INFINITY,
                HttpClient.ResponseMatcher.IN_ORDER),
            new HttpClient.ResponseHandler() {
              @Override
              public void response(HttpClient.Response response) {
                if (response.status() == 200) {
                  tally.servedInTime[second] += nowMs() - dueMs <= latencyObjectiveMs ? 1 : 0;
                  tally.partsServed += partCount;
                  tally.delayedRetriesServed += delayed && second >= tally.warmUpSeconds ? 1 : 0;
                } else if (response.status() == 429 || response.status() == 503) {
                  handleRejection(
                      number, second, dueMs, attempt, response.head().header("Retry-After"));
                }
              }

              @Override
              public void failed(HttpClient.Failure failure, String reason) {
                // Not served, and not retried because the query may have run.
              }
            });
    tally.delayedRetries += delayed && call != null && second >= tally.warmUpSeconds ? 1 : 0;
    if (call == null) {
      handleRejection(number, second, dueMs, attempt, null);
    }
  }

  private void handleRejection(
      int number, int second, double dueMs, int attempt, String retryAfter) {
    boolean honorsRetryAfter =
        retryBehavior == RetryBehavior.AFTER_RETRY_AFTER
            || (retryBehavior == RetryBehavior.ALTERNATING && number % 2 == 0);
    if (attempt >= MAX_ATTEMPTS || (honorsRetryAfter && retryAfter == null)) {
      return;
    }
    double delayMs = honorsRetryAfter ? 1000 * Double.parseDouble(retryAfter) : 0;
    tally.retryAfterHonored += honorsRetryAfter ? 1 : 0;
    if (nowMs() + delayMs < dueMs + deadlineMs) {
      loop.schedule(
          delayMs, () -> sendAttempt(number, second, dueMs, attempt + 1, honorsRetryAfter));
    }
  }
}
