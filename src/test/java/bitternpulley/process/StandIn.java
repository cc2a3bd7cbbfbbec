package bitternpulley.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;

/**
 * A slot server of ours that speaks both dialects; what it does with a part can be set at any time.
 */
final class StandIn implements AutoCloseable {
  /**
   * What becomes of a part. From GARBAGE to ENDLESS the answer is spoilt; what follows is good,
   * with more than that.
   */
  enum Act {
    SERVE,
    ERROR,
    FULL,
    SILENT,
    RESET,
    CUT_SHORT,
    MALFORMED_QUERY,
    GARBAGE,
    BAD_END,
    BAD_LETTER,
    OTHER_ID,
    HUGE,
    CUT_OFF,
    ENDLESS,
    TWICE,
    NOISE_BEHIND,
    BAD_REPORT
  }

  /** The value that this section's servers give. */
  static String value(int section) {
    return String.format("%016x", section + 0xbead);
  }

  final String id;
  final int cell;
  final String host;

  /** Of the index (empty on the platform) and the section. */
  volatile BiFunction<String, Integer, Act> act = (index, section) -> Act.SERVE;

  volatile long drainingSince;
  final List<String> heads = new CopyOnWriteArrayList<>();
  private final AttemptLog log;
  private final ServerSocket frames;
  private final ServerSocket http;
  private final List<Socket> open = new CopyOnWriteArrayList<>();

  StandIn(String id, int cell, String host, int searchPort, AttemptLog log) throws IOException {
    this.id = id;
    this.cell = cell;
    this.host = host;
    this.log = log;
    frames = new ServerSocket(0, 50, InetAddress.getByName(host));
    http = new ServerSocket(searchPort, 50, InetAddress.getByName(host));
    daemon(() -> accept(frames, this::serveFrames));
    daemon(() -> accept(http, this::serveHttp));
  }

  int framePort() {
    return frames.getLocalPort();
  }

  boolean holds(int section) {
    return cell == section || cell == (section + 1) % Deployment.CELLS;
  }

  interface Task {
    void run() throws IOException;
  }

  private interface Serve {
    void on(Socket socket) throws IOException;
  }

  /** Runs until its socket is closed, which is how the stand-ins end. */
  static void daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | java.io.UncheckedIOException e) {
                // closed: the test is over, or the program has ended the connection
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket at, Serve serve) throws IOException {
    while (true) {
      Socket socket = at.accept();
      open.add(socket);
      daemon(
          () -> {
            try (socket) {
              serve.on(socket);
            } finally {
              open.remove(socket);
            }
          });
    }
  }

  void dropConnections() throws IOException {
    for (Socket s : open) {
      s.setSoLinger(true, 0);
      s.close();
    }
  }

  private void serveFrames(Socket socket) throws IOException {
    Map<String, AttemptLog.Attempt> out = new ConcurrentHashMap<>();
    DataInputStream in = new DataInputStream(socket.getInputStream());
    try {
      while (true) {
        byte[] length = in.readNBytes(4);
        if (length.length < 4) {
          throw new EOFException();
        }
        byte[] frame =
            in.readNBytes(ByteBuffer.wrap(length).order(ByteOrder.LITTLE_ENDIAN).getInt());
        String text = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
        if (frame[0] == '2') {
          AttemptLog.Attempt cancelled = out.remove(text);
          if (cancelled != null) {
            log.end(cancelled);
          }
        } else if (frame[0] == '1') {
          call(socket, text, out);
        }
      }
    } finally {
      out.values().forEach(log::end);
    }
  }

  private void call(Socket socket, String text, Map<String, AttemptLog.Attempt> out)
      throws IOException {
    String[] words = text.substring(0, text.indexOf('\n')).split(" ");
    heads.add(text);
    int section = Integer.parseInt(words[1]);
    String key = words[2].contains(",k=") ? words[2].split(",k=")[1] : null;
    AttemptLog.Attempt a =
        log.begin(new AttemptLog.Attempt("platform", words[0], key, section, this));
    out.put(words[0], a);
    Act what = act.apply("", section);
    if (what == Act.SILENT) {
      return;
    }
    log.end(a);
    out.remove(words[0]);
    if (what == Act.RESET) {
      socket.setSoLinger(true, 0);
      socket.close();
      return;
    }
    if (what == Act.GARBAGE) {
      socket.getOutputStream().write(new byte[] {-1, -1, -1, 127, 9});
      return;
    }
    byte[] whole = answer(what, words[0], section);
    OutputStream to = socket.getOutputStream();
    int first =
        what == Act.TWICE || what == Act.NOISE_BEHIND
            ? whole.length
            : 7; // else in two pieces, as a network may
    to.write(whole, 0, first);
    to.flush();
    to.write(whole, first, whole.length - first);
    while (what == Act.HUGE) {
      to.write(new byte[1 << 16]); // until the other side ends it
    }
  }

  private static byte[] answer(Act what, String part, int section) {
    String end = what == Act.FULL ? "B" : what == Act.ERROR ? "E" : what == Act.BAD_END ? "?" : "S";
    String id = what == Act.OTHER_ID ? "0123456789abcdef.0" : part;
    String good =
        "5"
            + id
            + " "
            + end
            + (what == Act.BAD_REPORT ? " 0 %%%\n" : " 0 -\n")
            + (end.equals("S") ? value(section) : "");
    byte[] answer =
        (what == Act.BAD_LETTER ? "\1" + good.substring(1) : good)
            .getBytes(StandardCharsets.ISO_8859_1);
    int length =
        what == Act.HUGE
            ? (int) 3_000_000_000L
            : answer.length - (what == Act.CUT_OFF ? 7 : 0) + (what == Act.ENDLESS ? 9 : 0);
    byte[] frame =
        ByteBuffer.allocate(4 + answer.length)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putInt(length)
            .put(answer)
            .array();
    byte[] behind = what == Act.TWICE ? frame : new byte[what == Act.NOISE_BEHIND ? 52 : 0];
    return ByteBuffer.allocate(frame.length + behind.length).put(frame).put(behind).array();
  }

  private void serveHttp(Socket socket) throws IOException {
    while (true) {
      InputStream in = socket.getInputStream();
      String[] head = head(in);
      Map<String, String> headers = headers(head);
      JsonNode body =
          Deployment.JSON.readTree(in.readNBytes(Integer.parseInt(headers.get("content-length"))));
      String[] path = head[0].split("[ ?]")[1].substring(1).split("/");
      int section = Integer.parseInt(head[0].replaceAll(".*_shards:([0-9]+).*", "$1"));
      heads.add(String.join("\n", head) + "\n" + body);
      AttemptLog.Attempt a =
          log.begin(
              new AttemptLog.Attempt(
                  "opensearch",
                  headers.get("x-opaque-id"),
                  headers.get("idempotency-key"),
                  section,
                  this));
      Act what = act.apply(path[0], section);
      if (what == Act.SILENT) {
        int end = in.read(); // until the other side gives up
        log.end(a);
        return;
      }
      log.end(a);
      if (what == Act.RESET || what == Act.GARBAGE) {
        socket
            .getOutputStream()
            .write(what == Act.GARBAGE ? "HTTP/9 what\r\n".getBytes() : new byte[0]);
        return;
      }
      respond(socket, what, path[0], section, body);
    }
  }

  private static void respond(Socket socket, Act what, String index, int section, JsonNode asked)
      throws IOException {
    ObjectNode body = Deployment.JSON.createObjectNode();
    int status = 200;
    if (what == Act.SERVE || what == Act.CUT_SHORT || what == Act.NOISE_BEHIND) {
      body.put("took", 1).put("timed_out", what == Act.CUT_SHORT);
      body.putObject("_shards")
          .put("total", 1)
          .put("successful", 1)
          .put("skipped", 0)
          .put("failed", 0);
      ObjectNode hits = body.putObject("hits");
      hits.putObject("total").put("value", 20).put("relation", "eq");
      ArrayNode list = hits.putArray("hits");
      // Twenty documents a section, whose scores interleave with those of the other sections.
      for (int i = 0; i < Math.min(20, asked.path("size").asInt(10)); i++) {
        list.addObject()
            .put("_index", index)
            .put("_id", index + "-" + section + "-" + i)
            .put("_score", 100.0 - i - section / 10.0);
      }
    } else {
      status = what == Act.FULL ? 429 : what == Act.MALFORMED_QUERY ? 400 : 500;
      String type =
          what == Act.MALFORMED_QUERY
              ? "parsing_exception"
              : what == Act.FULL ? "rejected_execution_exception" : "shard_failure";
      body.putObject("error").put("type", type).put("reason", "as asked for");
      body.put("status", status);
    }
    byte[] text = body.toString().getBytes(StandardCharsets.UTF_8);
    OutputStream to = socket.getOutputStream();
    to.write(
        ("HTTP/1.1 "
                + status
                + " X\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(text.length)
                + "\r\n")
            .getBytes());
    to.flush();
    to.write(text);
    to.write(("\r\n0\r\n\r\n" + (what == Act.NOISE_BEHIND ? "\0\1noise\r\n" : "")).getBytes());
  }

  /** The lines of an HTTP head. */
  static String[] head(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        throw new EOFException("the connection ended");
      }
      bytes.write(b);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
  }

  static Map<String, String> headers(String[] head) {
    Map<String, String> headers = new HashMap<>();
    for (int i = 1; i < head.length; i++) {
      int colon = head[i].indexOf(':');
      headers.put(
          head[i].substring(0, colon).toLowerCase(Locale.ROOT),
          head[i].substring(colon + 1).strip());
    }
    return headers;
  }

  @Override
  public void close() throws IOException {
    frames.close();
    http.close();
    for (Socket s : open) {
      s.close();
    }
  }
}
