import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A slot server that speaks the OpenSearch-style query API for its sections. */
final class SearchServer {
  private static final Pattern SIZE = Pattern.compile("\"size\" *: *([0-9]+)");
  private static final Pattern SHARD = Pattern.compile("_shards:([0-9]+)");

  private final String source;
  volatile double workMs = 20;

  /** The parts received. */
  final AtomicInteger asked = new AtomicInteger();

  private final int maxHits;

  /** Each section has this many hits, each with a document of this many bytes. */
  SearchServer(String host, int port, int documentBytes, int maxHits) throws IOException {
    this.maxHits = maxHits;
    source = "{\"slot\":\"" + "2026-12-05 09:30 ".repeat(documentBytes / 17) + "\"}";
    ServerSocket listener = new ServerSocket(port, 1000, InetAddress.getByName(host));
    Discovery.daemon(
        () -> {
          try {
            while (true) {
              Socket socket = listener.accept();
              Discovery.daemon(() -> serve(socket));
            }
          } catch (IOException closed) {
            // The server is down.
          }
        });
  }

  private void serve(Socket socket) {
    try {
      socket.setTcpNoDelay(true);
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      while (true) {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
          int next = in.read();
          if (next < 0) {
            return;
          }
          head.append((char) next);
        }
        int length = 0;
        String id = "";
        for (String line : head.toString().split("\r\n")) {
          String lower = line.toLowerCase(Locale.ROOT);
          if (lower.startsWith("content-length:")) {
            length = Integer.parseInt(line.substring(15).strip());
          } else if (lower.startsWith("x-opaque-id:")) {
            id = line.substring(12).strip();
          }
        }
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        asked.incrementAndGet();
        Matcher size = SIZE.matcher(body);
        int hits = Math.min(maxHits, size.find() ? Integer.parseInt(size.group(1)) : 10);
        Matcher shard = SHARD.matcher(head);
        String section = shard.find() ? shard.group(1) : "0";
        Rig.sleep(workMs);
        StringBuilder answer = new StringBuilder();
        answer.append(
            "{\"took\":1,\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,"
                + "\"skipped\":0,\"failed\":0},\"hits\":{\"total\":{\"value\":"
                + hits
                + ",\"relation\":\"eq\"},\"max_score\":1.0,\"hits\":[");
        for (int hit = 0; hit < hits; hit++) {
          answer
              .append(hit == 0 ? "" : ",")
              .append("{\"_index\":\"stock\",\"_id\":\"")
              .append(section)
              .append('-')
              .append(hit)
              .append("\",\"_score\":1.0,\"_source\":")
              .append(source)
              .append('}');
        }
        byte[] bytes = answer.append("]}}").toString().getBytes(StandardCharsets.UTF_8);
        byte[] start =
            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Opaque-Id: "
                    + id
                    + "\r\nContent-Length: "
                    + bytes.length
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        socket.getOutputStream().write(start);
        socket.getOutputStream().write(bytes);
      }
    } catch (IOException ended) {
      // The aggregator has closed the connection.
    }
  }
}
