package bitternpulley.process;

import static org.testng.Assert.assertEquals;

import bitternpulley.process.FakeSlotServer.Behavior;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Compares the bytes that the program writes on each of its interfaces with a recording: to clients
 * of both front ends, to slot servers over both protocols, to discovery and to admin callers. Only
 * values that differ from run to run are masked.
 */
public class EdgeBytesProcessTest extends ProcessTest {
  private static final Path RECORDED = Path.of("src/test/resources/edges/recorded.txt");
  private static final String MATCH_ALL = "{\"query\":{\"match_all\":{}}}";

  private final List<String> exchanges = new ArrayList<>();

  @Test
  public void writesRecordedBytesOnEveryInterface() throws Exception {
    exchanges.clear();
    recordWatch();
    recordPlatformReplies();
    recordPlatformFailures();
    recordSearchReplies();
    recordSlotServerRequests();
    recordAdminReplies();
    assertEquals(String.join("\n", exchanges), Files.readString(RECORDED).trim());
  }

  private void recordWatch() {
    Deployment.await("a watch", () -> !deployment.discovery.watchTargets.isEmpty());
    record("discovery", deployment.discovery.watchTargets.get(0));
  }

  private void recordPlatformReplies() throws IOException {
    record("ready", platformReply("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n"));
    record("healthy", platformReply("GET /-/healthy HTTP/1.1\r\nConnection: close\r\n\r\n"));
    record("unknown", platformReply("GET /-/what HTTP/1.1\r\nConnection: close\r\n\r\n"));
    record("complete", platformReply(query("slot-search", "e1", 0, 3)));
    record("malformed", platformReply(query("slot-search", "e2", 0).replace("slices", "slicez")));
    record("no class", platformReply(query("nothing", "e3", 0)));
    record("no id", platformReply(query("slot-search", "e4", 0).replace("Request-Id: e4\r\n", "")));
    record(
        "no key",
        platformReply(query("slot-booking", "e5", 0).replace("Idempotency-Key: k-e5\r\n", "")));
    record(
        "too long",
        platformReply("POST /slot-search HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"));
    record(
        "no method",
        platformReply(
            "PUT /slot-search HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
    record("no HTTP", platformReply("what is this\r\n\r\n"));
  }

  private void recordPlatformFailures() throws IOException {
    setShardBehavior(4, Behavior.ERROR);
    record("partial", platformReply(query("stock-report", "e6", 0, 1, 2, 3, 4, 5)));
    record("rejected after errors", platformReply(query("slot-search", "e7", 4)));
    setShardBehavior(4, Behavior.FULL);
    record("rejected", platformReply(query("slot-search", "e8", 4)));
    setShardBehavior(4, Behavior.SILENT);
    record(
        "failed",
        platformReply(
            query("slot-booking", "e10", 4)
                .replace("Request-Timeout: 4.5", "Request-Timeout: 1.5")));
    setAllServers(Behavior.SERVE);
  }

  private void recordSearchReplies() throws IOException {
    record("search", searchReply(search("/slots/_search?size=2", MATCH_ALL)));
    record(
        "msearch",
        searchReply(
            search(
                "/_msearch", "{\"index\":\"slots\"}\n{\"size\":1}\n{\"index\":\"none\"}\n{}\n")));
    record("search unknown", searchReply(search("/none/_search", MATCH_ALL)));
    record("search illegal", searchReply(search("/slots/_search", "{\"aggs\":{}}")));
    record("search malformed", searchReply(search("/slots/_search", "{")));
    record("search no path", searchReply(search("/slots/_count", MATCH_ALL)));
    setShardBehavior(4, Behavior.ERROR);
    record("search failed", searchReply(search("/slots/_search", MATCH_ALL)));
    record("search partial", searchReply(search("/stock/_search?size=1", MATCH_ALL)));
    setAllServers(Behavior.SERVE);
  }

  private void recordSlotServerRequests() throws IOException {
    deployment.servers.forEach(server -> server.requests.clear());
    deployment.sendQuery("slot-booking", "e9", 2);
    deployment.sendSearch("/bookings/_search?size=3", MATCH_ALL, "Idempotency-Key: k9");
    for (FakeSlotServer server : deployment.servers) {
      for (String request : server.requests) {
        record("slot server", request);
      }
    }
  }

  private void recordAdminReplies() throws IOException {
    for (String call :
        List.of(
            "health",
            "cordon s1",
            "cordon nobody",
            "uncordon s1",
            "quiesce",
            "resume",
            "reload",
            "accounts",
            "members",
            "what",
            "x".repeat(600))) {
      record("admin " + call.substring(0, Math.min(20, call.length())), deployment.callAdmin(call));
    }
  }

  private static String query(String queryClass, String id, int... shards) {
    return TestClient.queryRequest(queryClass, id, 4.5, shards)
        .replace("Host: b\r\n", "Host: b\r\nConnection: close\r\n");
  }

  private static String search(String target, String body) {
    return "POST "
        + target
        + " HTTP/1.1\r\nHost: b\r\nConnection: close\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String platformReply(String request) throws IOException {
    return rawReply(deployment.listenAddress, request);
  }

  private String searchReply(String request) throws IOException {
    return rawReply(deployment.searchListenAddress, request);
  }

  private static String rawReply(String address, String text) throws IOException {
    try (Socket socket = TestClient.connect(address)) {
      TestClient.send(socket, text);
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private void record(String label, String text) {
    exchanges.add(
        label + ": " + mask(text).replace("\\", "\\\\").replace("\r", "\\r").replace("\n", "\\n"));
  }

  /**
   * Masks values that differ from run to run: addresses, times, the length of a body with a time,
   * and the server that served a part.
   */
  private static String mask(String text) {
    String masked =
        text.replaceAll("127\\.0\\.[01]\\.[0-9]+(:[0-9]+)?", "ADDRESS")
            .replaceAll("Retry-After: [0-9.]+", "Retry-After: TIME")
            .replaceAll("\"node\":\"s[0-9]+\"", "\"node\":\"SERVER\"")
            .replaceAll(" d=[0-9]+", " d=TIME")
            .replaceAll("\"timeout\":\"[0-9]+ms", "\"timeout\":\"TIMEms");
    return masked.contains("\"took\":")
        ? masked
            .replaceAll("\"took\":[0-9]+", "\"took\":TIME")
            .replaceAll("Content-Length: [0-9]+", "Content-Length: LENGTH")
        : masked;
  }
}
