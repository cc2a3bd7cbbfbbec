package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.Deployment.Reply;
import bitternpulley.process.StandIn.Act;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** The OpenSearch-style front against the real program, and traffic in both dialects at once. */
public class SearchProcessTest extends ProcessTest {
  private static final String ANY = "{\"query\":{\"match_all\":{}}}";

  private static List<String> ids(Reply r) {
    List<String> ids = new ArrayList<>();
    r.json().at("/hits/hits").forEach(h -> ids.add(h.path("_id").asText()));
    return ids;
  }

  private static void assertError(Reply r, int status, String type) {
    assertEquals(r.status(), status, r.body());
    assertEquals(r.json().path("status").asInt(), status);
    assertEquals(r.json().at("/error/type").asText(), type);
    assertFalse(r.json().at("/error/reason").asText().isEmpty());
    assertEquals(r.json().at("/error/root_cause/0/type").asText(), type);
  }

  @Test
  public void sectionsOfBothDataCentresMergeIntoOneTopK() throws IOException {
    Reply r = d.search("/slots/_search?from=3&size=7", ANY);
    assertEquals(r.status(), 200, r.body());
    // Document i of section s scores 100 - i - s/10: the order is by i, then by s.
    assertEquals(
        ids(r),
        List.of(
            "slots-3-0",
            "slots-4-0",
            "slots-5-0",
            "slots-0-1",
            "slots-1-1",
            "slots-2-1",
            "slots-3-1"));
    JsonNode body = r.json();
    assertEquals(body.at("/hits/total").toString(), "{\"value\":120,\"relation\":\"eq\"}");
    assertEquals(body.at("/hits/max_score").asDouble(), 100.0);
    assertEquals(
        body.path("_shards").toString(),
        "{\"total\":6,\"successful\":6,\"skipped\":0,\"failed\":0}");
    assertFalse(body.path("timed_out").asBoolean());
    assertEquals(d.log.of("opensearch").stream().map(a -> a.section % 2).distinct().count(), 2);
    assertEquals(
        d.search("/slots/_search?track_total_hits=50", ANY).json().at("/hits/total").toString(),
        "{\"value\":50,\"relation\":\"gte\"}");
    assertTrue(
        d.search("/slots/_search?track_total_hits=false", ANY)
            .json()
            .at("/hits/total")
            .isMissingNode());
  }

  /**
   * Guards against noise behind a good answer that ends the call which follows on the same
   * connection.
   */
  @Test
  public void noiseBehindAGoodAnswerSpoilsNothing() throws IOException {
    d.servers.forEach(s -> s.act = (index, section) -> Act.NOISE_BEHIND);
    for (int i = 1; i <= 5; i++) {
      Reply r = d.search("/slots/_search", ANY);
      assertEquals(r.json().at("/_shards/successful").asInt(), 6, r.body());
      assertEquals(d.log.of("opensearch").size(), 6 * i, "one attempt a part");
    }
  }

  @Test
  public void aServerThatAnswersOneIndexAndFailsAnotherIsReplacedForThatOne() throws IOException {
    d.servers.forEach(
        s ->
            s.act =
                (index, section) ->
                    index.equals("clinics") && s.cell % 2 == 0 ? Act.ERROR : Act.SERVE);
    Reply r = d.search("/slots,clinics/_search?size=12", ANY);
    assertEquals(r.status(), 200, r.body());
    assertEquals(r.json().at("/_shards/total").asInt(), 12);
    assertEquals(r.json().at("/_shards/failed").asInt(), 0);
    assertEquals(
        ids(r).stream()
            .map(i -> i.split("-")[0])
            .collect(Collectors.groupingBy(i -> i, Collectors.counting()))
            .toString(),
        "{slots=6, clinics=6}");
  }

  @Test
  public void lessThanTheWholeIsToldOrNotGiven() throws IOException {
    d.servers.forEach(s -> s.act = (index, section) -> section == 4 ? Act.ERROR : Act.SERVE);
    Reply part = d.search("/stock/_search", ANY);
    assertEquals(part.status(), 200, part.body());
    assertEquals(part.json().at("/_shards/successful").asInt(), 5);
    assertEquals(part.json().at("/_shards/failed").asInt(), 1);
    assertEquals(part.json().at("/_shards/failures/0/shard").asInt(), 4);
    assertEquals(part.json().at("/_shards/failures/0/reason/type").asText(), "shard_failure");
    assertEquals(part.json().at("/hits/total/value").asInt(), 100);
    Reply whole = d.search("/stock/_search?allow_partial_search_results=false", ANY);
    assertError(whole, 500, "search_phase_execution_exception");
    assertEquals(whole.json().at("/error/failed_shards/0/shard").asInt(), 4);
    assertError(d.search("/slots/_search", ANY), 500, "search_phase_execution_exception");
  }

  @Test
  public void anAnswerThatItsServerCutShortIsNoAnswer() throws IOException {
    d.servers.forEach(s -> s.act = (index, section) -> s.cell == 3 ? Act.CUT_SHORT : Act.SERVE);
    assertEquals(d.search("/slots/_search", ANY).json().at("/_shards/successful").asInt(), 6);
    d.servers.forEach(s -> s.act = (index, section) -> Act.CUT_SHORT);
    assertError(d.search("/slots/_search", ANY), 500, "search_phase_execution_exception");
  }

  @Test
  public void timeoutsEndInAPartialAnswerOr504() throws IOException {
    d.servers.forEach(s -> s.act = (index, section) -> section == 4 ? Act.SILENT : Act.SERVE);
    Reply part = d.search("/stock/_search?timeout=1500ms", ANY);
    assertEquals(part.status(), 200, part.body());
    assertTrue(part.json().path("timed_out").asBoolean());
    assertEquals(part.json().at("/_shards/successful").asInt(), 5);
    assertError(d.search("/slots/_search", "{\"timeout\":\"1500ms\"}"), 504, "timeout_exception");
  }

  @Test
  public void whatCannotBeMergedIsTurnedDown() throws IOException {
    for (String body :
        List.of(
            "{\"aggs\":{}}",
            "{\"sort\":[{\"day\":\"asc\"}]}",
            "{\"sort\":[\"_score\",\"day\"]}",
            "{\"collapse\":{\"field\":\"x\"}}",
            "{\"search_after\":[1]}",
            "{\"sort\":{\"_score\":\"asc\"}}",
            "{\"from\":9999,\"size\":2}",
            "{\"size\":-1}")) {
      assertError(d.search("/slots/_search", body), 400, "illegal_argument_exception");
    }
    assertError(d.search("/slots/_search", "{\"sorts\":1}"), 400, "parsing_exception");
    assertError(d.search("/slots/_search", "{"), 400, "parsing_exception");
    assertError(d.search("/slots/_search?scroll=1m", ANY), 400, "illegal_argument_exception");
    assertError(d.search("/slots,stock/_search", ANY), 400, "illegal_argument_exception");
    assertError(d.search("/slots,nowhere/_search", ANY), 404, "index_not_found_exception");
    assertError(d.search("/slots/_search", " ".repeat(70_000)), 413, "content_too_long_exception");
    assertEquals(d.log.all().size(), 0);
    assertEquals(
        d.search("/slots/_search", "{\"sort\":[{\"_score\":{\"order\":\"desc\"}}]}").status(), 200);
  }

  @Test
  public void aQueryThatServersFindFaultyIsNotTriedAgain() throws IOException {
    d.servers.forEach(s -> s.act = (index, section) -> Act.MALFORMED_QUERY);
    assertError(d.search("/slots/_search", ANY), 400, "parsing_exception");
    assertTrue(d.log.all().size() <= 6);
  }

  @Test
  public void aKeyedClassNeedsItsKeyAndKeepsIt() throws IOException {
    assertError(d.search("/bookings/_search", ANY), 400, "illegal_argument_exception");
    d.servers.get(0).act = (index, section) -> Act.RESET;
    for (int i = 0; i < 4; i++) {
      assertEquals(d.search("/bookings/_search", ANY, "Idempotency-Key: k" + i).status(), 200);
    }
    assertTrue(d.log.all().stream().allMatch(a -> a.key.matches("k[0-3]\\.bookings\\.0")));
  }

  @Test
  public void whatIsRefusedUnsentIs429WithRetryAfter() throws IOException {
    restartHolding(7);
    d.servers.forEach(s -> s.act = (index, section) -> Act.SILENT);
    try (Socket holder = Deployment.connect(d.searchListen)) {
      holder
          .getOutputStream()
          .write("POST /slots/_search HTTP/1.1\r\nContent-Length: 0\r\n\r\n".getBytes());
      Deployment.await("six parts held", () -> d.log.all().size() == 6);
      Reply r = d.search("/slots/_search", ANY);
      assertError(r, 429, "rejected_execution_exception");
      assertTrue(Integer.parseInt(r.headers().get("retry-after")) >= 1);
      assertEquals(d.log.all().size(), 6);
    }
    assertError(d.search("/slots,clinics/_search", ANY), 400, "illegal_argument_exception");
  }

  @Test
  public void eachSearchOfAnMsearchHasItsOwnFate() throws IOException {
    String body =
        "{}\n"
            + ANY
            + "\n{\"index\":\"nowhere\"}\n{}\n{\"index\":[\"stock\"]}\n{\"size\":1}\n"
            + "{\"index\":\"bookings\"}\n{}\n{}\n{\"aggs\":{}}\n";
    Reply r = d.search("/slots/_msearch", body, "Idempotency-Key: m");
    assertEquals(r.status(), 200, r.body());
    List<Integer> statuses = new ArrayList<>();
    r.json().path("responses").forEach(x -> statuses.add(x.path("status").asInt()));
    assertEquals(statuses, List.of(200, 404, 200, 200, 400));
    assertEquals(r.json().at("/responses/2/hits/hits").size(), 1);
    assertError(d.search("/_msearch", "{}\n{}"), 400, "illegal_argument_exception");
  }

  @Test
  public void mixedTrafficKeepsTheSameRulesInBothDialects() throws Exception {
    // One server of each data centre is bad, in a way of its own, and one drains half way through.
    d.servers.get(1).act = (index, section) -> index.equals("slots") ? Act.RESET : Act.ERROR;
    d.servers.get(4).act = (index, section) -> section == 4 ? Act.FULL : Act.SERVE;
    List<Reply> platform = new ArrayList<>();
    List<Reply> searches = new ArrayList<>();
    List<Throwable> failed = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < 4; c++) {
      int client = c;
      Thread thread =
          new Thread(
              () -> {
                try {
                  for (int i = 0; i < 15; i++) {
                    String id = "m" + client + "-" + i;
                    boolean booking = i % 3 == 0;
                    Reply r =
                        client % 2 == 0
                            ? d.ask(
                                booking ? "slot-booking" : "slot-search", id, i % 6, (i + 1) % 6)
                            : booking
                                ? d.search("/bookings/_search", ANY, "Idempotency-Key: " + id)
                                : d.search("/slots/_search", ANY);
                    synchronized (platform) {
                      (client % 2 == 0 ? platform : searches).add(r);
                    }
                  }
                } catch (IOException | AssertionError e) {
                  synchronized (platform) {
                    failed.add(e);
                  }
                }
              });
      clients.add(thread);
      thread.start();
    }
    d.tell(d.servers.get(5), "draining");
    for (Thread t : clients) {
      t.join(TimeUnit.SECONDS.toMillis(60));
    }
    assertEquals(failed, List.of());
    assertEquals(platform.size() + searches.size(), 60, "one final answer each");
    // Sections 0 and 4 lose a sound holder or two; most of the rest must be whole in both dialects.
    assertTrue(platform.stream().filter(r -> r.status() == 200).count() >= 10, statuses(platform));
    assertTrue(searches.stream().filter(r -> r.status() == 200).count() >= 10, statuses(searches));
    assertTrue(d.log.of("platform").size() > 0 && d.log.of("opensearch").size() > 0);
    d.log.check("platform");
    d.log.check("opensearch");
  }

  private static String statuses(List<Reply> replies) {
    return replies.stream()
        .map(Reply::status)
        .sorted(Comparator.naturalOrder())
        .toList()
        .toString();
  }
}
