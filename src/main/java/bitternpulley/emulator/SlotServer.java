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
 * One slot server in both dialects over one queue of work. How much work a part is, in
 * microseconds, stands in what is asked: {@code w=9000} in a query's filter or a search's body;
 * without it a part takes {@link #USUAL_WORK}.
 */
public final class SlotServer {
  /** Ms of work of a part that tells none. */
  static final double USUAL_WORK = 10;

  private static final Pattern WORK = Pattern.compile("w=([0-9]{1,9})");
  private static final Pattern SECTION = Pattern.compile("_shards:([0-9]{1,6})");
  private static final int MOST_BODY = 64 * 1024;
  private static final int MOST_CONNECTIONS = 2000;
  private static final HttpServer.Timeouts PATIENT =
      new HttpServer.Timeouts(60_000, 60_000, 60_000);

  private final String id;
  private final int cell;
  private final int cells;
  private final EventLoop loop;
  private final WorkQueue work;
  private final RuleCheck rules;
  private HostPort frames;
  private boolean silent;
  private double drains = Double.NaN;

  SlotServer(String id, int cell, int cells, int cores, EventLoop loop, RuleCheck rules) {
    this.id = id;
    this.cell = cell;
    this.cells = cells;
    this.loop = loop;
    this.rules = rules;
    this.work = new WorkQueue(loop, cores, 200);
  }

  /** Listens on a host of its own, for searches at the port that all servers share. */
  void listen(String host, int searchPort) throws IOException {
    frames = new StreamServer(Session::new).listen(loop, new HostPort(host, 0));
    HttpServer http = new HttpServer(loop, MOST_BODY, MOST_CONNECTIONS, PATIENT, new Searches());
    http.listen(new HostPort(host, searchPort));
  }

  public String id() {
    return id;
  }

  int cell() {
    return cell;
  }

  /** Where it takes frames. */
  public HostPort frames() {
    return frames;
  }

  /** Times as long that each part takes from now on. */
  public void slow(double times) {
    loop.execute(() -> work.slowness(times));
  }

  /** Takes parts and answers none, or answers again. */
  public void silent(boolean on) {
    loop.execute(() -> silent = on);
  }

  /** From now on nothing new may come, or again; the time of the first word counts. */
  public void drains(boolean on) {
    loop.execute(() -> drains = !on ? Double.NaN : Double.isNaN(drains) ? now() : drains);
  }

  /** Ms of work finished so far. */
  public double workDone() {
    return work.workDone();
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private boolean holds(int section) {
    return cell == Math.floorMod(section, cells) || cell == Math.floorMod(section + 1, cells);
  }

  private static double workOf(String asked) {
    Matcher m = WORK.matcher(asked);
    return m.find() ? Long.parseLong(m.group(1)) / 1000.0 : USUAL_WORK;
  }

  /** One connection of frames. */
  private final class Session implements Connection.Owner {
    private final Connection connection;
    private final FrameCodec codec = new FrameCodec();
    private final Set<String> out = new HashSet<>();

    Session(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        codec.read(bytes, this::frame);
      } catch (IllegalArgumentException e) {
        connection.close();
      }
    }

    private void frame(FrameCodec.Frame frame) {
      String text = new String(frame.rest(), StandardCharsets.UTF_8);
      if (frame.letter() == '2') {
        if (out.remove(text)) {
          rules.end(text, now());
        }
      } else if (frame.letter() == '1') {
        call(text);
      }
    }

    private void call(String text) {
      String[] words = text.substring(0, text.indexOf('\n')).split(" ");
      String part = words[0];
      rules.begin(part, words[2].contains(",k="), holds(Integer.parseInt(words[1])), drains, now());
      rules.work(id, workOf(text), now());
      out.add(part);
      if (silent) {
        return;
      }
      work.submit(
          workOf(text),
          new WorkQueue.Job() {
            @Override
            public void done() {
              answer(part, "S", String.format("%016x", part.hashCode()));
            }

            @Override
            public void full() {
              answer(part, "B", "");
            }
          });
    }

    private void answer(String part, String end, String value) {
      if (out.remove(part)) {
        rules.end(part, now());
        connection.write(
            FrameCodec.encode(
                '5', (part + " " + end + " 0 -\n" + value).getBytes(StandardCharsets.UTF_8)),
            () -> {});
      }
    }

    @Override
    public void closed() {
      out.forEach(part -> rules.end(part, now()));
      out.clear();
    }
  }

  /** The search API as one section answers it. */
  private final class Searches implements HttpServer.Handler {
    @Override
    public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
      String part = request.head().header("X-Opaque-Id");
      Matcher section = SECTION.matcher(request.head().target());
      if (part == null || !section.find()) {
        exchange.reply(
            json(
                400,
                "{\"error\":{\"type\":\"parsing_exception\",\"reason\":\"no section\"},\"status\":400}"));
        return;
      }
      rules.begin(
          part,
          request.head().header("Idempotency-Key") != null,
          holds(Integer.parseInt(section.group(1))),
          drains,
          now());
      boolean[] open = {true};
      exchange.onDisconnect(() -> end(open, part));
      if (silent) {
        return;
      }
      work.submit(
          workOf(new String(request.body(), StandardCharsets.UTF_8)),
          new WorkQueue.Job() {
            @Override
            public void done() {
              end(open, part);
              exchange.reply(
                  json(
                      200,
                      "{\"took\":1,\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,"
                          + "\"skipped\":0,\"failed\":0},\"hits\":{\"total\":{\"value\":1,\"relation\":\"eq\"},\"hits\":["
                          + "{\"_index\":\"i\",\"_id\":\""
                          + part.hashCode()
                          + "\",\"_score\":1.0}]}}"));
            }

            @Override
            public void full() {
              end(open, part);
              exchange.reply(
                  json(
                      429,
                      "{\"error\":{\"type\":\"rejected_execution_exception\",\"reason\":\"full\"},"
                          + "\"status\":429}"));
            }
          });
    }

    private void end(boolean[] open, String part) {
      if (open[0]) {
        open[0] = false;
        rules.end(part, now());
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
  }
}
