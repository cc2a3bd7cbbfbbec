package bitternpulley.process;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * What the program writes at each of its edges, byte for byte as recorded: to clients of both
 * fronts, to slot servers in both protocols, to discovery and to operators. Ports and times are
 * masked, nothing else.
 */
public class EdgeBytesProcessTest extends ProcessTest {
  private static final Path RECORDED = Path.of("src/test/resources/edges/recorded.txt");
  private static final String ANY = "{\"query\":{\"match_all\":{}}}";

  private final List<String> seen = new ArrayList<>();

  @Test
  public void everyEdgeWritesWhatWasRecorded() throws Exception {
    seen.clear();
    watch();
    platformClients();
    searchClients();
    slotServers();
    operators();
    assertEquals(String.join("\n", seen), Files.readString(RECORDED).trim());
  }

  private void watch() {
    Deployment.await("a watch", () -> !d.watches.isEmpty());
    record("discovery", d.watches.get(0));
  }

  private void platformClients() throws IOException {
    record("ready", raw(d.listen, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n"));
    record("healthy", raw(d.listen, "GET /-/healthy HTTP/1.1\r\nConnection: close\r\n\r\n"));
    record("unknown", raw(d.listen, "GET /-/what HTTP/1.1\r\nConnection: close\r\n\r\n"));
    record("complete", raw(d.listen, query("slot-search", "e1", 0, 3)));
    record("malformed", raw(d.listen, query("slot-search", "e2", 0).replace("slices", "slicez")));
    record("no class", raw(d.listen, query("nothing", "e3", 0)));
    record("no id", raw(d.listen, query("slot-search", "e4", 0).replace("Request-Id: e4\r\n", "")));
    record(
        "no key",
        raw(d.listen, query("slot-booking", "e5", 0).replace("Idempotency-Key: k-e5\r\n", "")));
    record(
        "too long",
        raw(d.listen, "POST /slot-search HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"));
    record(
        "no method",
        raw(
            d.listen,
            "PUT /slot-search HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
    record("no HTTP", raw(d.listen, "what is this\r\n\r\n"));
    d.servers.forEach(
        s -> s.act = (index, section) -> section == 4 ? StandIn.Act.ERROR : StandIn.Act.SERVE);
    record("partial", raw(d.listen, query("stock-report", "e6", 0, 1, 2, 3, 4, 5)));
    record("rejected after errors", raw(d.listen, query("slot-search", "e7", 4)));
    d.servers.forEach(
        s -> s.act = (index, section) -> section == 4 ? StandIn.Act.FULL : StandIn.Act.SERVE);
    record("rejected", raw(d.listen, query("slot-search", "e8", 4)));
    d.servers.forEach(
        s -> s.act = (index, section) -> section == 4 ? StandIn.Act.SILENT : StandIn.Act.SERVE);
    record(
        "failed",
        raw(
            d.listen,
            query("slot-booking", "e10", 4)
                .replace("Request-Timeout: 4.5", "Request-Timeout: 1.5")));
    d.servers.forEach(s -> s.act = (index, section) -> StandIn.Act.SERVE);
  }

  private void searchClients() throws IOException {
    record("search", raw(d.searchListen, search("/slots/_search?size=2", ANY)));
    record(
        "msearch",
        raw(
            d.searchListen,
            search(
                "/_msearch", "{\"index\":\"slots\"}\n{\"size\":1}\n{\"index\":\"none\"}\n{}\n")));
    record("search unknown", raw(d.searchListen, search("/none/_search", ANY)));
    record("search illegal", raw(d.searchListen, search("/slots/_search", "{\"aggs\":{}}")));
    record("search malformed", raw(d.searchListen, search("/slots/_search", "{")));
    record("search no path", raw(d.searchListen, search("/slots/_count", ANY)));
    d.servers.forEach(
        s -> s.act = (index, section) -> section == 4 ? StandIn.Act.ERROR : StandIn.Act.SERVE);
    record("search failed", raw(d.searchListen, search("/slots/_search", ANY)));
    record("search partial", raw(d.searchListen, search("/stock/_search?size=1", ANY)));
    d.servers.forEach(s -> s.act = (index, section) -> StandIn.Act.SERVE);
  }

  private void slotServers() throws IOException {
    d.servers.forEach(s -> s.heads.clear());
    d.ask("slot-booking", "e9", 2);
    d.search("/bookings/_search?size=3", ANY, "Idempotency-Key: k9");
    for (StandIn server : d.servers) {
      for (String head : server.heads) {
        record("slot server", head);
      }
    }
  }

  private void operators() throws IOException {
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
      record("admin " + call.substring(0, Math.min(20, call.length())), d.order(call));
    }
  }

  private static String query(String requestClass, String id, int... sections) {
    return Deployment.query(requestClass, id, 4.5, sections)
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

  private static String raw(String to, String text) throws IOException {
    try (Socket socket = Deployment.connect(to)) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private void record(String what, String text) {
    seen.add(
        what + ": " + mask(text).replace("\\", "\\\\").replace("\r", "\\r").replace("\n", "\\n"));
  }

  /**
   * Replaces what differs from run to run: addresses, times, the length of a body with a time, and
   * who served a part.
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
