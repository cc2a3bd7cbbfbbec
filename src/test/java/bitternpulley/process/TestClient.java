package bitternpulley.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** HTTP client functions for requests to the program. */
final class TestClient {
  private static final int READ_TIMEOUT_MS = 30_000;

  private TestClient() {}

  record Reply(int status, Map<String, String> headers, String body) {
    JsonNode json() {
      try {
        return Deployment.JSON.readTree(body);
      } catch (IOException e) {
        throw new AssertionError("not JSON: " + body, e);
      }
    }
  }

  /** Sends one request over a connection of its own and reads the whole answer. */
  static Reply exchange(String address, String head, String body) throws IOException {
    try (Socket socket = connect(address)) {
      send(socket, head + body);
      return readReply(socket);
    }
  }

  static Socket connect(String address) throws IOException {
    String[] hostAndPort = address.split(":", 2);
    Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    socket.setSoTimeout(READ_TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    return socket;
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  static Reply readReply(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    String[] head = FakeSlotServer.readHead(in);
    Map<String, String> headers = FakeSlotServer.parseHeaders(head);
    byte[] body = in.readNBytes(Integer.parseInt(headers.get("content-length")));
    return new Reply(
        Integer.parseInt(head[0].split(" ", -1)[1]),
        headers,
        new String(body, StandardCharsets.UTF_8));
  }

  /** Returns the text of a platform query for shards of equal weight. */
  static String queryRequest(String queryClass, String id, double timeoutSeconds, int... shards) {
    ObjectNode body = Deployment.JSON.createObjectNode().put("filter", "c41e77d0");
    ArrayNode slices = body.putArray("slices");
    for (int shard : shards) {
      slices.addObject().put("slice", shard).put("mass", 1.0 / shards.length);
    }
    return "POST /"
        + queryClass
        + " HTTP/1.1\r\nHost: b\r\nRequest-Id: "
        + id
        + "\r\nRequest-Timeout: "
        + timeoutSeconds
        + "\r\nIdempotency-Key: k-"
        + id
        + "\r\nContent-Length: "
        + body.toString().length()
        + "\r\n\r\n"
        + body;
  }
}
