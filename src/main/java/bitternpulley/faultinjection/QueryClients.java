package bitternpulley.faultinjection;

import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Emulates the clients of a cluster. They send queries at random times derived from a seed, each to
 * a random process over a connection of its own, and count every answer on it. A query is lost if
 * it gets no answer in time although its process was not disturbed meanwhile; code that kills or
 * pauses a process must report it with {@link #beginDisturbance}.
 */
public final class QueryClients {
  private static final String[] QUERY_CLASSES = {"slot-search", "slot-booking", "stock-report"};
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3})");
  private static final double TIMEOUT_MS = 1400;

  /**
   * 50 ms that the protocol allows on top of each limit, and 50 ms that a message between two
   * processes may take on a busy machine.
   */
  private static final double TOLERANCE_MS = 50 + 50;

  private final EventLoop loop = new EventLoop();
  private final Random random;
  private final Cluster cluster;
  private final String idPrefix;

  /** For each process the end of its last disturbance in ms, or infinity during a disturbance. */
  private final double[] disturbedUntilMs;

  private boolean stopped;
  private int queryCount;
  private int servedCount;
  private int rejectedCount;
  private int failedCount;
  private int excusedCount;
  private int extraAnswerCount;
  private final List<String> lostQueries = new ArrayList<>();

  /** Starts clients that send {@code queriesPerSecond} queries per second in total. */
  public QueryClients(Cluster cluster, long seed, double queriesPerSecond) {
    this.cluster = cluster;
    this.random = new Random(seed);
    this.idPrefix = Long.toHexString(System.nanoTime()) + "-";
    disturbedUntilMs = new double[cluster.size()];
    Arrays.fill(disturbedUntilMs, Double.NEGATIVE_INFINITY);
    loop.execute(() -> sendRepeatedly(queriesPerSecond));
  }

  /**
   * Reports that a process is about to be killed or paused, or is starting. Unanswered queries that
   * were sent to the process before {@link #endDisturbance} do not count as lost.
   */
  public void beginDisturbance(int node) {
    loop.execute(() -> disturbedUntilMs[node] = Double.POSITIVE_INFINITY);
  }

  /** Reports that a process works normally again. */
  public void endDisturbance(int node) {
    loop.execute(() -> disturbedUntilMs[node] = now());
  }

  /** Stops sending, and waits until every query has been answered or has timed out. */
  public void stop() throws InterruptedException {
    loop.execute(() -> stopped = true);
    Thread.sleep((long) (TIMEOUT_MS + 4 * TOLERANCE_MS));
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  /** Sends a query, and the following ones at exponentially distributed intervals. */
  private void sendRepeatedly(double queriesPerSecond) {
    if (!stopped) {
      sendQuery();
      loop.schedule(
          -Math.log(1 - random.nextDouble()) * 1000 / queriesPerSecond,
          () -> sendRepeatedly(queriesPerSecond));
    }
  }

  private void sendQuery() {
    int node = random.nextInt(cluster.size());
    int queryClass = random.nextInt(QUERY_CLASSES.length);
    int firstShard = random.nextInt(6);
    int partCount = queryClass == 2 ? 6 : 1 + random.nextInt(3);
    StringBuilder slices = new StringBuilder();
    for (int part = 0; part < partCount; part++) {
      slices
          .append(part == 0 ? "" : ",")
          .append("{\"slice\":")
          .append((firstShard + part) % 6)
          .append(",\"mass\":")
          .append(1.0 / partCount)
          .append('}');
    }
    String id = idPrefix + queryCount++;
    String body = "{\"slices\":[" + slices + "],\"filter\":\"w=4000\"}";
    String request =
        "POST /"
            + QUERY_CLASSES[queryClass]
            + " HTTP/1.1\r\nHost: b\r\nRequest-Id: "
            + id
            + "\r\nRequest-Timeout: "
            + String.format(Locale.ROOT, "%.3f", TIMEOUT_MS / 1000)
            + "\r\nIdempotency-Key: k-"
            + id
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    new Query(node, id).send(cluster.node(node).queryAddress(), request);
  }

  /** One query and its answers. */
  private final class Query implements Connection.Owner {
    private final int node;
    private final String id;
    private final double sentAtMs = now();
    private final StringBuilder receivedText = new StringBuilder();
    private double answeredAtMs = Double.NaN;
    private int answerCount;

    Query(int node, String id) {
      this.node = node;
      this.id = id;
    }

    void send(HostPort address, String request) {
      try {
        Connection[] connection = new Connection[1];
        connection[0] =
            Connection.open(
                loop,
                address,
                TIMEOUT_MS,
                this,
                () ->
                    connection[0].write(
                        ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)), () -> {}));
        loop.schedule(
            TIMEOUT_MS + 2 * TOLERANCE_MS,
            () -> {
              checkAnswered();
              connection[0].close();
            });
      } catch (UncheckedIOException exception) {
        excusedCount++; // No socket could be opened on this machine, so no query was sent.
      }
    }

    @Override
    public void received(ByteBuffer bytes) {
      receivedText.append(StandardCharsets.ISO_8859_1.decode(bytes));
      Matcher statusLine = STATUS_LINE.matcher(receivedText);
      int found = 0;
      while (statusLine.find()) {
        found++;
        if (found == 1 && Double.isNaN(answeredAtMs)) {
          answeredAtMs = now();
          int status = Integer.parseInt(statusLine.group(1));
          servedCount += status == 200 ? 1 : 0;
          rejectedCount += status == 429 || status == 503 ? 1 : 0;
          failedCount += status != 200 && status != 429 && status != 503 ? 1 : 0;
        }
      }
      extraAnswerCount += Math.max(0, found - Math.max(1, answerCount));
      answerCount = Math.max(answerCount, found);
    }

    /** Counts the query as excused or lost if no answer came in time. */
    private void checkAnswered() {
      boolean inTime = answeredAtMs <= sentAtMs + TIMEOUT_MS + TOLERANCE_MS;
      if (!inTime) {
        if (disturbedUntilMs[node] >= sentAtMs) {
          excusedCount++;
        } else {
          lostQueries.add(
              cluster.node(node).name()
                  + " "
                  + id
                  + " after "
                  + Math.round(answeredAtMs - sentAtMs)
                  + " ms");
          cluster.timeline().recordObservation("lost", lostQueries.get(lostQueries.size() - 1));
        }
      }
    }

    @Override
    public void closed() {
      // checkAnswered() evaluates the answers received so far once the query has timed out.
    }
  }

  /** Returns how many queries were sent. */
  public int countQueries() {
    return queryCount;
  }

  /** Returns how many queries got a complete or partial answer. */
  public int countServed() {
    return servedCount;
  }

  /** Returns how many queries were rejected with status 429 or 503. */
  public int countRejected() {
    return rejectedCount;
  }

  /** Returns how many queries were answered with any other status. */
  public int countFailed() {
    return failedCount;
  }

  /**
   * Returns how many queries got no answer in time because their process was disturbed, or could
   * not be sent for lack of a socket.
   */
  public int countExcused() {
    return excusedCount;
  }

  /** Returns how many answers came in addition to the first one of a query. */
  public int countExtraAnswers() {
    return extraAnswerCount;
  }

  /**
   * Returns descriptions of the queries that got no answer in time although their process was not
   * disturbed.
   */
  public List<String> lostQueryDescriptions() {
    return List.copyOf(lostQueries);
  }
}
