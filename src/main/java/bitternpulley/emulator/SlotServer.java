package bitternpulley.emulator;

import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.FrameCodec;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpServer;
import bitternpulley.net.StreamServer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Emulates a slot server that implements the frame protocol and the search API over one work queue.
 * A query's filter or a search's body states the work of a part in microseconds, such as {@code
 * w=9000}; without that, a part takes {@link #DEFAULT_WORK_MS}.
 */
public final class SlotServer {
  /** Work of a part whose query does not state it. */
  static final double DEFAULT_WORK_MS = 10;

  private static final Pattern WORK = Pattern.compile("w=([0-9]{1,9})");
  private static final Pattern SHARD = Pattern.compile("_shards:([0-9]{1,6})");
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int MAX_CONNECTIONS = 2000;
  private static final int QUEUE_CAPACITY = 200;
  private static final HttpServer.Timeouts LONG_TIMEOUTS =
      new HttpServer.Timeouts(60_000, 60_000, 60_000);

  private final String id;
  private final int cell;
  private final int serverCount;
  private final EventLoop loop;
  private final WorkQueue workQueue;
  private final RuleCheck ruleCheck;
  private HostPort frameAddress;
  private boolean unresponsive;
  private double drainingSinceMs = Double.NaN;

  /** Creates a server that has the shard of its own number and, in a ring, the one before it. */
  SlotServer(String id, int cell, int serverCount, int cores, EventLoop loop, RuleCheck ruleCheck) {
    this.id = id;
    this.cell = cell;
    this.serverCount = serverCount;
    this.loop = loop;
    this.ruleCheck = ruleCheck;
    this.workQueue = new WorkQueue(loop, cores, QUEUE_CAPACITY);
  }

  /** Listens for frames at any port of a host, and for searches at {@code searchPort}. */
  void listen(String host, int searchPort) throws IOException {
    frameAddress = new StreamServer(FrameSession::new).listen(loop, new HostPort(host, 0));
    HttpServer http =
        new HttpServer(loop, MAX_BODY_BYTES, MAX_CONNECTIONS, LONG_TIMEOUTS, new SearchHandler());
    http.listen(new HostPort(host, searchPort));
  }

  /** Returns the id by which discovery lists this server. */
  public String id() {
    return id;
  }

  int cell() {
    return cell;
  }

  /** Returns the address at which this server accepts frames. */
  public HostPort frameAddress() {
    return frameAddress;
  }

  /** Sets the factor by which parts that start from now on take longer than usual. */
  public void setSlowdown(double factor) {
    loop.execute(() -> workQueue.setSlowdown(factor));
  }

  /** Sets whether this server accepts parts without answering them. */
  public void setUnresponsive(boolean on) {
    loop.execute(() -> unresponsive = on);
  }

  /**
   * Sets whether this server is draining and must be sent nothing new. The time counts from the
   * first announcement.
   */
  public void setDraining(boolean on) {
    loop.execute(
        () ->
            drainingSinceMs =
                !on ? Double.NaN : Double.isNaN(drainingSinceMs) ? now() : drainingSinceMs);
  }

  /** Returns how many ms of work this server has finished so far. */
  public double workDoneMs() {
    return workQueue.workDoneMs();
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private boolean hasShard(int shard) {
    return cell == Math.floorMod(shard, serverCount)
        || cell == Math.floorMod(shard + 1, serverCount);
  }

  private static double workMs(String query) {
    Matcher work = WORK.matcher(query);
    return work.find() ? Long.parseLong(work.group(1)) / 1000.0 : DEFAULT_WORK_MS;
  }

  /** A connection over which an aggregator sends calls as frames. */
  private final class FrameSession implements Connection.Owner {
    private final Connection connection;
    private final FrameCodec codec = new FrameCodec();
    private final Set<String> partsInFlight = new HashSet<>();

    FrameSession(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        codec.read(bytes, this::handleFrame);
      } catch (IllegalArgumentException exception) {
        connection.close();
      }
    }

    private void handleFrame(FrameCodec.Frame frame) {
      String text = new String(frame.payload(), StandardCharsets.UTF_8);
      if (frame.typeCode() == '2') {
        if (partsInFlight.remove(text)) {
          ruleCheck.attemptEnded(text, now());
        }
      } else if (frame.typeCode() == '1') {
        handleCall(text);
      }
    }

    private void handleCall(String text) {
      String[] words = text.substring(0, text.indexOf('\n')).split(" ", 0);
      String partId = words[0];
      ruleCheck.attemptStarted(
          partId,
          words[2].contains(",k="),
          hasShard(Integer.parseInt(words[1])),
          drainingSinceMs,
          now());
      ruleCheck.workReceived(id, workMs(text), now());
      partsInFlight.add(partId);
      if (unresponsive) {
        return;
      }
      workQueue.submit(
          workMs(text),
          new WorkQueue.Job() {
            @Override
            public void completed() {
              answer(partId, "S", String.format("%016x", partId.hashCode()));
            }

            @Override
            public void rejected() {
              answer(partId, "B", "");
            }
          });
    }

    private void answer(String partId, String status, String value) {
      if (partsInFlight.remove(partId)) {
        ruleCheck.attemptEnded(partId, now());
        connection.write(
            FrameCodec.encode(
                '5', (partId + " " + status + " 0 -\n" + value).getBytes(StandardCharsets.UTF_8)),
            () -> {});
      }
    }

    @Override
    public void closed() {
      partsInFlight.forEach(partId -> ruleCheck.attemptEnded(partId, now()));
      partsInFlight.clear();
    }
  }

  /** Answers searches of single shards. */
  private final class SearchHandler implements HttpServer.Handler {
    @Override
    public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
      String partId = request.head().header("X-Opaque-Id");
      Matcher shard = SHARD.matcher(request.head().target());
      if (partId == null || !shard.find()) {
        exchange.reply(
            json(
                400,
                "{\"error\":{\"type\":\"parsing_exception\",\"reason\":\"no section\"},"
                    + "\"status\":400}"));
        return;
      }
      ruleCheck.attemptStarted(
          partId,
          request.head().header("Idempotency-Key") != null,
          hasShard(Integer.parseInt(shard.group(1))),
          drainingSinceMs,
          now());
      boolean[] inFlight = {true};
      exchange.onDisconnect(() -> endAttempt(inFlight, partId));
      if (unresponsive) {
        return;
      }
      workQueue.submit(
          workMs(new String(request.body(), StandardCharsets.UTF_8)),
          searchJob(inFlight, partId, exchange));
    }

    private WorkQueue.Job searchJob(
        boolean[] inFlight, String partId, HttpServer.Exchange exchange) {
      return new WorkQueue.Job() {
        @Override
        public void completed() {
          endAttempt(inFlight, partId);
          exchange.reply(
              json(
                  partId,
                  200,
                  "{\"took\":1,\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,"
                      + "\"skipped\":0,\"failed\":0},\"hits\":{\"total\":{\"value\":1,"
                      + "\"relation\":\"eq\"},\"hits\":["
                      + "{\"_index\":\"i\",\"_id\":\""
                      + partId.hashCode()
                      + "\",\"_score\":1.0}]}}"));
        }

        @Override
        public void rejected() {
          endAttempt(inFlight, partId);
          exchange.reply(
              json(
                  partId,
                  429,
                  "{\"error\":{\"type\":\"rejected_execution_exception\",\"reason\":\"full\"},"
                      + "\"status\":429}"));
        }
      };
    }

    private void endAttempt(boolean[] inFlight, String partId) {
      if (inFlight[0]) {
        inFlight[0] = false;
        ruleCheck.attemptEnded(partId, now());
      }
    }

    @Override
    public HttpServer.Response errorResponse(int status, String reason) {
      return json(
          status, "{\"error\":{\"type\":\"illegal_argument_exception\",\"reason\":\"unusable\"}}");
    }

    private HttpServer.Response json(int status, String body) {
      return new HttpServer.Response(
          status,
          Map.of("Content-Type", "application/json"),
          body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a response that names the part to which it belongs. */
    private HttpServer.Response json(String partId, int status, String body) {
      return new HttpServer.Response(
          status,
          Map.of("Content-Type", "application/json", "X-Opaque-Id", partId),
          body.getBytes(StandardCharsets.UTF_8));
    }
  }
}
