package bitternpulley.faultinjection;

import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Clients of a cluster: queries at times drawn ahead by seed, each to a process by chance and over
 * a connection of its own, on which every answer is counted. A query is lost if it has none in its
 * time though its process was neither killed nor stopped meanwhile; whoever does that says so.
 */
public final class Callers {
  private static final String[] CLASSES = {"slot-search", "slot-booking", "stock-report"};
  private static final Pattern ANSWER = Pattern.compile("HTTP/1\\.1 ([0-9]{3})");
  private static final double TIMEOUT = 1400;

  /** Ms that the protocol adds to each limit, and a busy machine may take between two processes. */
  private static final double SLACK = 50 + 50;

  private final EventLoop loop = new EventLoop();
  private final Random random;
  private final Cluster cluster;
  private final String prefix;
  private final double[] disturbed;
  private boolean ending;
  private int count;
  private int served;
  private int refused;
  private int failed;
  private int excused;
  private int extra;
  private final List<String> lost = new ArrayList<>();

  /** Clients that send so many queries a second in all, until they are ended. */
  public Callers(Cluster cluster, long seed, double perSecond) {
    this.cluster = cluster;
    this.random = new Random(seed);
    this.prefix = Long.toHexString(System.nanoTime()) + "-";
    disturbed = new double[cluster.size()];
    java.util.Arrays.fill(disturbed, Double.NEGATIVE_INFINITY);
    loop.execute(() -> next(perSecond));
  }

  /**
   * A process is killed, stopped, or starting from now on until {@link #well}: what is asked of it
   * meanwhile does not count.
   */
  public void disturbed(int node) {
    loop.execute(() -> disturbed[node] = Double.POSITIVE_INFINITY);
  }

  /** It is as it was. */
  public void well(int node) {
    loop.execute(() -> disturbed[node] = now());
  }

  /** Sends no more, and waits until every query is over. */
  public void end() throws InterruptedException {
    loop.execute(() -> ending = true);
    Thread.sleep((long) (TIMEOUT + 4 * SLACK));
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private void next(double perSecond) {
    if (!ending) {
      ask();
      loop.after(-Math.log(1 - random.nextDouble()) * 1000 / perSecond, () -> next(perSecond));
    }
  }

  private void ask() {
    int node = random.nextInt(cluster.size());
    int kind = random.nextInt(CLASSES.length);
    int first = random.nextInt(6);
    int parts = kind == 2 ? 6 : 1 + random.nextInt(3);
    StringBuilder slices = new StringBuilder();
    for (int i = 0; i < parts; i++) {
      slices
          .append(i == 0 ? "" : ",")
          .append("{\"slice\":")
          .append((first + i) % 6)
          .append(",\"mass\":")
          .append(1.0 / parts)
          .append('}');
    }
    String id = prefix + count++;
    String body = "{\"slices\":[" + slices + "],\"filter\":\"w=4000\"}";
    String request =
        "POST /"
            + CLASSES[kind]
            + " HTTP/1.1\r\nHost: b\r\nRequest-Id: "
            + id
            + "\r\nRequest-Timeout: "
            + String.format(Locale.ROOT, "%.3f", TIMEOUT / 1000)
            + "\r\nIdempotency-Key: k-"
            + id
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    new Query(node, id).send(cluster.node(node).front(), request);
  }

  private final class Query implements Connection.Owner {
    private final int node;
    private final String id;
    private final double sentAt = now();
    private final StringBuilder came = new StringBuilder();
    private double answeredAt = Double.NaN;
    private int answers;

    Query(int node, String id) {
      this.node = node;
      this.id = id;
    }

    void send(HostPort to, String request) {
      try {
        Connection[] made = new Connection[1];
        made[0] =
            Connection.open(
                loop,
                to,
                TIMEOUT,
                this,
                () ->
                    made[0].write(
                        ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)), () -> {}));
        loop.after(
            TIMEOUT + 2 * SLACK,
            () -> {
              over();
              made[0].close();
            });
      } catch (UncheckedIOException e) {
        excused++; // this machine has no socket for a client: nothing was asked
      }
    }

    @Override
    public void received(ByteBuffer bytes) {
      came.append(StandardCharsets.ISO_8859_1.decode(bytes));
      Matcher m = ANSWER.matcher(came);
      int found = 0;
      while (m.find()) {
        found++;
        if (found == 1 && Double.isNaN(answeredAt)) {
          answeredAt = now();
          int status = Integer.parseInt(m.group(1));
          served += status == 200 ? 1 : 0;
          refused += status == 429 || status == 503 ? 1 : 0;
          failed += status != 200 && status != 429 && status != 503 ? 1 : 0;
        }
      }
      extra += Math.max(0, found - Math.max(1, answers));
      answers = Math.max(answers, found);
    }

    /** The whole of its time has passed: one answer, or a reason why none. */
    private void over() {
      boolean inTime = answeredAt <= sentAt + TIMEOUT + SLACK;
      if (!inTime) {
        if (disturbed[node] >= sentAt) {
          excused++;
        } else {
          lost.add(
              cluster.node(node).name()
                  + " "
                  + id
                  + " after "
                  + Math.round(answeredAt - sentAt)
                  + " ms");
          cluster.timeline().see("lost", lost.get(lost.size() - 1));
        }
      }
    }

    @Override
    public void closed() {
      // what has come by then is what there is; counted once its time is over
    }
  }

  /** Queries asked, answered in full or in part, and refused or failed. */
  public int asked() {
    return count;
  }

  public int served() {
    return served;
  }

  public int refused() {
    return refused;
  }

  public int failed() {
    return failed;
  }

  /** Queries to processes that were killed or stopped meanwhile, which got no answer in time. */
  public int excused() {
    return excused;
  }

  /** Answers beyond one a query. */
  public int extra() {
    return extra;
  }

  /** Queries that got no answer in their time, though nothing was done to their process. */
  public List<String> lost() {
    return List.copyOf(lost);
  }
}
