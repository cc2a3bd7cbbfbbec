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
import java.io.UncheckedIOException;
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

/** A fake slot server for both protocols. Its behavior for each part can be set at any time. */
final class FakeSlotServer implements AutoCloseable {
  /**
   * What the server does with a part. From GARBAGE to LENGTH_TOO_LARGE, the result is invalid. From
   * DUPLICATE on, the result is valid, and the program must ignore the surplus or unusable data.
   */
  enum Behavior {
    SERVE,
    ERROR,
    FULL,
    SILENT,
    RESET,
    TIMED_OUT,
    MALFORMED_QUERY,
    GARBAGE,
    BAD_STATUS,
    BAD_FRAME_TYPE,
    WRONG_ID,
    HUGE_LENGTH,
    LENGTH_TOO_SMALL,
    LENGTH_TOO_LARGE,
    DUPLICATE,
    /** Searches: sends the previous answer of the connection once more, then serves. */
    LATE_COPY,
    TRAILING_BYTES,
    BAD_LOAD_REPORT
  }

  /** The value that every server of a shard returns for it. */
  static String value(int shard) {
    return String.format(Locale.ROOT, "%016x", shard + 0xbead);
  }

  final String id;
  final int cell;
  final String host;

  /** Whether answers to searches name the part that they belong to. */
  volatile boolean returnsOpaqueId = true;

  /** Number of documents of each shard, and the bytes of text in each. */
  volatile int documentsPerShard = 20;

  volatile int documentBytes;

  /** The behavior for an index, which is empty for platform queries, and a shard. */
  volatile BiFunction<String, Integer, Behavior> behavior = (index, shard) -> Behavior.SERVE;

  volatile long drainingSinceNanos;

  /** The text of each call frame, and the head and body of each HTTP request. */
  final List<String> requests = new CopyOnWriteArrayList<>();

  private final AttemptLog attemptLog;
  private final ServerSocket frameListener;
  private final ServerSocket httpListener;
  private final List<Socket> openConnections = new CopyOnWriteArrayList<>();

  FakeSlotServer(String id, int cell, String host, int searchPort, AttemptLog attemptLog)
      throws IOException {
    this.id = id;
    this.cell = cell;
    this.host = host;
    this.attemptLog = attemptLog;
    frameListener = new ServerSocket(0, 50, InetAddress.getByName(host));
    httpListener = new ServerSocket(searchPort, 50, InetAddress.getByName(host));
    runInDaemonThread(() -> accept(frameListener, this::serveFrames));
    runInDaemonThread(() -> accept(httpListener, this::serveHttp));
  }

  int framePort() {
    return frameListener.getLocalPort();
  }

  /** Whether this server has a replica of the shard. */
  boolean hasReplica(int shard) {
    return cell == shard || cell == (shard + 1) % Deployment.CELLS;
  }

  interface Task {
    void run() throws IOException;
  }

  private interface ConnectionHandler {
    void serve(Socket socket) throws IOException;
  }

  /** Runs a task of a fake service until it fails, as it does once its socket is closed. */
  static void runInDaemonThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | UncheckedIOException e) {
                // The test is over, or the program has closed the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket listener, ConnectionHandler handler) throws IOException {
    while (true) {
      Socket socket = listener.accept();
      openConnections.add(socket);
      runInDaemonThread(
          () -> {
            try (socket) {
              handler.serve(socket);
            } finally {
              openConnections.remove(socket);
            }
          });
    }
  }

  void resetConnections() throws IOException {
    for (Socket socket : openConnections) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private void serveFrames(Socket socket) throws IOException {
    Map<String, AttemptLog.Attempt> pending = new ConcurrentHashMap<>();
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
          AttemptLog.Attempt cancelled = pending.remove(text);
          if (cancelled != null) {
            attemptLog.end(cancelled);
          }
        } else if (frame[0] == '1') {
          serveCall(socket, text, pending);
        }
      }
    } finally {
      pending.values().forEach(attemptLog::end);
    }
  }

  private void serveCall(Socket socket, String text, Map<String, AttemptLog.Attempt> pending)
      throws IOException {
    String[] words = text.substring(0, text.indexOf('\n')).split(" ", -1);
    requests.add(text);
    int shard = Integer.parseInt(words[1]);
    String idempotencyKey = words[2].contains(",k=") ? words[2].split(",k=", -1)[1] : null;
    AttemptLog.Attempt attempt =
        attemptLog.begin(new AttemptLog.Attempt("platform", words[0], idempotencyKey, shard, this));
    pending.put(words[0], attempt);
    Behavior chosen = behavior.apply("", shard);
    if (chosen == Behavior.SILENT) {
      return;
    }
    attemptLog.end(attempt);
    pending.remove(words[0]);
    if (chosen == Behavior.RESET) {
      socket.setSoLinger(true, 0);
      socket.close();
      return;
    }
    if (chosen == Behavior.GARBAGE) {
      socket.getOutputStream().write(new byte[] {-1, -1, -1, 127, 9});
      return;
    }
    writeResult(socket.getOutputStream(), chosen, resultFrame(chosen, words[0], shard));
  }

  private static void writeResult(OutputStream out, Behavior chosen, byte[] result)
      throws IOException {
    // Frames without surplus data are written in two pieces, as a network may deliver them.
    int firstPiece =
        chosen == Behavior.DUPLICATE || chosen == Behavior.TRAILING_BYTES ? result.length : 7;
    out.write(result, 0, firstPiece);
    out.flush();
    out.write(result, firstPiece, result.length - firstPiece);
    while (chosen == Behavior.HUGE_LENGTH) {
      out.write(new byte[1 << 16]); // until the program closes the connection
    }
  }

  private static byte[] resultFrame(Behavior chosen, String part, int shard) {
    String status = resultStatus(chosen);
    String partId = chosen == Behavior.WRONG_ID ? "0123456789abcdef.0" : part;
    String validResult =
        "5"
            + partId
            + " "
            + status
            + (chosen == Behavior.BAD_LOAD_REPORT ? " 0 %%%\n" : " 0 -\n")
            + (status.equals("S") ? value(shard) : "");
    byte[] result =
        (chosen == Behavior.BAD_FRAME_TYPE ? "\1" + validResult.substring(1) : validResult)
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] frame =
        ByteBuffer.allocate(4 + result.length)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putInt(announcedLength(chosen, result.length))
            .put(result)
            .array();
    byte[] surplus =
        chosen == Behavior.DUPLICATE ? frame : new byte[chosen == Behavior.TRAILING_BYTES ? 52 : 0];
    return ByteBuffer.allocate(frame.length + surplus.length).put(frame).put(surplus).array();
  }

  private static String resultStatus(Behavior chosen) {
    return switch (chosen) {
      case FULL -> "B";
      case ERROR -> "E";
      case BAD_STATUS -> "?";
      default -> "S";
    };
  }

  private static int announcedLength(Behavior chosen, int length) {
    return switch (chosen) {
      case HUGE_LENGTH -> (int) 3_000_000_000L;
      case LENGTH_TOO_SMALL -> length - 7;
      case LENGTH_TOO_LARGE -> length + 9;
      default -> length;
    };
  }

  private void serveHttp(Socket socket) throws IOException {
    List<String> previousAnswer = List.of();
    while (true) {
      InputStream in = socket.getInputStream();
      String[] head = readHead(in);
      Map<String, String> headers = parseHeaders(head);
      JsonNode query =
          Deployment.JSON.readTree(in.readNBytes(Integer.parseInt(headers.get("content-length"))));
      String index = head[0].split("[ ?]", -1)[1].substring(1).split("/", -1)[0];
      int shard = Integer.parseInt(head[0].replaceAll(".*_shards:([0-9]+).*", "$1"));
      requests.add(String.join("\n", head) + "\n" + query);
      AttemptLog.Attempt attempt =
          attemptLog.begin(
              new AttemptLog.Attempt(
                  "opensearch",
                  headers.get("x-opaque-id"),
                  headers.get("idempotency-key"),
                  shard,
                  this));
      Behavior chosen = behavior.apply(index, shard);
      if (chosen == Behavior.SILENT) {
        int unused = in.read(); // returns when the program closes the connection
        attemptLog.end(attempt);
        return;
      }
      attemptLog.end(attempt);
      if (chosen == Behavior.RESET || chosen == Behavior.GARBAGE) {
        TestClient.send(socket, chosen == Behavior.GARBAGE ? "HTTP/9 what\r\n" : "");
        return;
      }
      List<String> answer = answer(chosen, index, shard, query, headers.get("x-opaque-id"));
      if (chosen == Behavior.LATE_COPY) {
        sendPieces(socket, previousAnswer);
      }
      sendPieces(socket, answer);
      previousAnswer = answer;
    }
  }

  private static void sendPieces(Socket socket, List<String> pieces) throws IOException {
    for (String piece : pieces) {
      TestClient.send(socket, piece);
    }
  }

  /** Returns an answer in the pieces in which it is written. */
  private List<String> answer(
      Behavior chosen, String index, int shard, JsonNode query, String opaqueId) {
    boolean isServed =
        chosen == Behavior.SERVE
            || chosen == Behavior.LATE_COPY
            || chosen == Behavior.TIMED_OUT
            || chosen == Behavior.TRAILING_BYTES;
    ObjectNode body = isServed ? searchResult(chosen, index, shard, query) : searchError(chosen);
    int status = isServed ? 200 : body.path("status").asInt();
    String text = body.toString(); // in ASCII
    return List.of(
        "HTTP/1.1 "
            + status
            + " X\r\n"
            + (returnsOpaqueId ? "X-Opaque-Id: " + opaqueId + "\r\n" : "")
            + "Transfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(text.length())
            + "\r\n",
        text,
        "\r\n0\r\n\r\n" + (chosen == Behavior.TRAILING_BYTES ? "\0\1noise\r\n" : ""));
  }

  private ObjectNode searchResult(Behavior chosen, String index, int shard, JsonNode query) {
    ObjectNode body = Deployment.JSON.createObjectNode();
    body.put("took", 1).put("timed_out", chosen == Behavior.TIMED_OUT);
    body.putObject("_shards")
        .put("total", 1)
        .put("successful", 1)
        .put("skipped", 0)
        .put("failed", 0);
    ObjectNode hits = body.putObject("hits");
    hits.putObject("total").put("value", documentsPerShard).put("relation", "eq");
    ArrayNode documents = hits.putArray("hits");
    String text = "x".repeat(documentBytes);
    // The scores of the documents of each shard interleave with those of the other shards.
    for (int i = 0; i < Math.min(documentsPerShard, query.path("size").asInt(10)); i++) {
      ObjectNode document =
          documents
              .addObject()
              .put("_index", index)
              .put("_id", query.at("/query/term/donor").asText(index) + "-" + shard + "-" + i)
              .put("_score", 100.0 - i - shard / 10.0);
      if (!text.isEmpty()) {
        document.putObject("_source").put("text", text);
      }
    }
    return body;
  }

  private static ObjectNode searchError(Behavior chosen) {
    int status = chosen == Behavior.FULL ? 429 : chosen == Behavior.MALFORMED_QUERY ? 400 : 500;
    String type =
        chosen == Behavior.MALFORMED_QUERY
            ? "parsing_exception"
            : chosen == Behavior.FULL ? "rejected_execution_exception" : "shard_failure";
    ObjectNode body = Deployment.JSON.createObjectNode();
    body.putObject("error").put("type", type).put("reason", "as asked for");
    body.put("status", status);
    return body;
  }

  /** Reads an HTTP head and returns its lines. */
  static String[] readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n", 0);
  }

  static Map<String, String> parseHeaders(String[] head) {
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
    frameListener.close();
    httpListener.close();
    for (Socket socket : openConnections) {
      socket.close();
    }
  }
}
