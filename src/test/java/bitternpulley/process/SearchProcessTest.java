package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.FakeSlotServer.Behavior;
import bitternpulley.process.TestClient.Reply;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The OpenSearch-style front end of the real program, and traffic over both protocols at once. */
public class SearchProcessTest extends ProcessTest {
  private static final String MATCH_ALL = "{\"query\":{\"match_all\":{}}}";

  private static List<String> ids(Reply reply) {
    List<String> ids = new ArrayList<>();
    reply.json().at("/hits/hits").forEach(hit -> ids.add(hit.path("_id").asText()));
    return ids;
  }

  private static void assertError(Reply reply, int status, String type) {
    assertEquals(reply.status(), status, reply.body());
    assertEquals(reply.json().path("status").asInt(), status);
    assertEquals(reply.json().at("/error/type").asText(), type);
    assertFalse(reply.json().at("/error/reason").asText().isEmpty());
    assertEquals(reply.json().at("/error/root_cause/0/type").asText(), type);
  }

  @Test
  public void mergesShardsOfBothZonesIntoOneTopK() throws IOException {
    Reply reply = deployment.sendSearch("/slots/_search?from=3&size=7", MATCH_ALL);
    assertEquals(reply.status(), 200, reply.body());
    // Document i of shard s scores 100 - i - s/10, so the order is by i, then by s.
    assertEquals(
        ids(reply),
        List.of(
            "slots-3-0",
            "slots-4-0",
            "slots-5-0",
            "slots-0-1",
            "slots-1-1",
            "slots-2-1",
            "slots-3-1"));
    JsonNode body = reply.json();
    assertEquals(body.at("/hits/total").toString(), "{\"value\":120,\"relation\":\"eq\"}");
    assertEquals(body.at("/hits/max_score").asDouble(), 100.0);
    assertEquals(
        body.path("_shards").toString(),
        "{\"total\":6,\"successful\":6,\"skipped\":0,\"failed\":0}");
    assertFalse(body.path("timed_out").asBoolean());
    assertEquals(
        deployment.attemptLog.forProtocol("opensearch").stream()
            .map(attempt -> attempt.shard % 2)
            .distinct()
            .count(),
        2);
    assertEquals(
        totalHits("/slots/_search?track_total_hits=50").toString(),
        "{\"value\":50,\"relation\":\"gte\"}");
    assertTrue(totalHits("/slots/_search?track_total_hits=false").isMissingNode());
  }

  private JsonNode totalHits(String target) throws IOException {
    return deployment.sendSearch(target, MATCH_ALL).json().at("/hits/total");
  }

  @DataProvider
  public Object[][] whetherAnswersNameTheirRequest() {
    return new Object[][] {{true}, {false}};
  }

  /** Guards against a late second copy of an answer that is taken for the next search's answer. */
  @Test(dataProvider = "whetherAnswersNameTheirRequest")
  public void answersNoSearchWithCopyOfAnEarlierAnswer(boolean returnsOpaqueId) throws IOException {
    deployment.servers.forEach(server -> server.returnsOpaqueId = returnsOpaqueId);
    setAllServers(Behavior.LATE_COPY);
    int answered = 0;
    for (int search = 0; search < 20; search++) {
      String donor = "donor" + search;
      Reply reply =
          deployment.sendSearch(
              "/slots/_search", "{\"query\":{\"term\":{\"donor\":\"" + donor + "\"}}}");
      if (reply.status() == 200) {
        answered++;
        for (String id : ids(reply)) {
          assertTrue(id.startsWith(donor + "-"), "search for " + donor + ": " + reply.body());
        }
      }
    }
    assertTrue(answered > 0);
  }

  /** Guards against surplus bytes after an answer that fail the next call on the connection. */
  @Test
  public void ignoresTrailingBytesAfterValidAnswer() throws IOException {
    setAllServers(Behavior.TRAILING_BYTES);
    for (int i = 1; i <= 5; i++) {
      Reply reply = deployment.sendSearch("/slots/_search", MATCH_ALL);
      assertEquals(reply.json().at("/_shards/successful").asInt(), 6, reply.body());
      assertEquals(
          deployment.attemptLog.forProtocol("opensearch").size(),
          6 * i,
          "one attempt for each part");
    }
  }

  @Test
  public void retriesOnlyTheIndexThatAServerFails() throws IOException {
    deployment.servers.forEach(
        server ->
            server.behavior =
                (index, shard) ->
                    index.equals("clinics") && server.cell % 2 == 0
                        ? Behavior.ERROR
                        : Behavior.SERVE);
    Reply reply = deployment.sendSearch("/slots,clinics/_search?size=12", MATCH_ALL);
    assertEquals(reply.status(), 200, reply.body());
    assertEquals(reply.json().at("/_shards/total").asInt(), 12);
    assertEquals(reply.json().at("/_shards/failed").asInt(), 0);
    assertEquals(
        ids(reply).stream()
            .map(id -> id.split("-", 2)[0])
            .collect(Collectors.groupingBy(index -> index, Collectors.counting()))
            .toString(),
        "{slots=6, clinics=6}");
  }

  @Test
  public void reportsMissingShardsOrFailsWithoutPartialResults() throws IOException {
    setShardBehavior(4, Behavior.ERROR);
    Reply partial = deployment.sendSearch("/stock/_search", MATCH_ALL);
    assertEquals(partial.status(), 200, partial.body());
    assertEquals(partial.json().at("/_shards/successful").asInt(), 5);
    assertEquals(partial.json().at("/_shards/failed").asInt(), 1);
    assertEquals(partial.json().at("/_shards/failures/0/shard").asInt(), 4);
    assertEquals(partial.json().at("/_shards/failures/0/reason/type").asText(), "shard_failure");
    assertEquals(partial.json().at("/hits/total/value").asInt(), 100);
    Reply failed =
        deployment.sendSearch("/stock/_search?allow_partial_search_results=false", MATCH_ALL);
    assertError(failed, 500, "search_phase_execution_exception");
    assertEquals(failed.json().at("/error/failed_shards/0/shard").asInt(), 4);
    assertError(
        deployment.sendSearch("/slots/_search", MATCH_ALL),
        500,
        "search_phase_execution_exception");
  }

  @Test
  public void treatsTimedOutAnswerOfServerAsFailure() throws IOException {
    deployment.servers.forEach(
        server ->
            server.behavior =
                (index, shard) -> server.cell == 3 ? Behavior.TIMED_OUT : Behavior.SERVE);
    assertEquals(
        deployment.sendSearch("/slots/_search", MATCH_ALL).json().at("/_shards/successful").asInt(),
        6);
    setAllServers(Behavior.TIMED_OUT);
    assertError(
        deployment.sendSearch("/slots/_search", MATCH_ALL),
        500,
        "search_phase_execution_exception");
  }

  @Test
  public void timeoutGivesPartialAnswerOr504() throws IOException {
    setShardBehavior(4, Behavior.SILENT);
    Reply partial = deployment.sendSearch("/stock/_search?timeout=1500ms", MATCH_ALL);
    assertEquals(partial.status(), 200, partial.body());
    assertTrue(partial.json().path("timed_out").asBoolean());
    assertEquals(partial.json().at("/_shards/successful").asInt(), 5);
    assertError(
        deployment.sendSearch("/slots/_search", "{\"timeout\":\"1500ms\"}"),
        504,
        "timeout_exception");
  }

  @Test
  public void rejectsSearchesThatCannotBeMerged() throws IOException {
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
      assertError(deployment.sendSearch("/slots/_search", body), 400, "illegal_argument_exception");
    }
    assertError(deployment.sendSearch("/slots/_search", "{\"sorts\":1}"), 400, "parsing_exception");
    assertError(deployment.sendSearch("/slots/_search", "{"), 400, "parsing_exception");
    assertError(
        deployment.sendSearch("/slots/_search?scroll=1m", MATCH_ALL),
        400,
        "illegal_argument_exception");
    assertError(
        deployment.sendSearch("/slots,stock/_search", MATCH_ALL),
        400,
        "illegal_argument_exception");
    assertError(
        deployment.sendSearch("/slots,nowhere/_search", MATCH_ALL),
        404,
        "index_not_found_exception");
    assertError(
        deployment.sendSearch("/slots/_search", " ".repeat(70_000)),
        413,
        "content_too_long_exception");
    assertEquals(deployment.attemptLog.all().size(), 0);
    assertEquals(
        deployment
            .sendSearch("/slots/_search", "{\"sort\":[{\"_score\":{\"order\":\"desc\"}}]}")
            .status(),
        200);
  }

  @Test
  public void doesNotRetrySearchThatServersFindMalformed() throws IOException {
    setAllServers(Behavior.MALFORMED_QUERY);
    assertError(deployment.sendSearch("/slots/_search", MATCH_ALL), 400, "parsing_exception");
    assertTrue(deployment.attemptLog.all().size() <= 6);
  }

  @Test
  public void keyedClassNeedsKeyAndKeepsItAcrossAttempts() throws IOException {
    assertError(
        deployment.sendSearch("/bookings/_search", MATCH_ALL), 400, "illegal_argument_exception");
    deployment.servers.get(0).behavior = (index, shard) -> Behavior.RESET;
    for (int i = 0; i < 4; i++) {
      assertEquals(
          deployment.sendSearch("/bookings/_search", MATCH_ALL, "Idempotency-Key: k" + i).status(),
          200);
    }
    assertTrue(
        deployment.attemptLog.all().stream()
            .allMatch(attempt -> attempt.idempotencyKey.matches("k[0-3]\\.bookings\\.0")));
  }

  @Test
  public void rejectsBeyondPendingLimitWith429AndRetryAfter() throws IOException {
    restartWithMaxPending(7);
    setAllServers(Behavior.SILENT);
    try (Socket pending = TestClient.connect(deployment.searchListenAddress)) {
      TestClient.send(pending, "POST /slots/_search HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
      Deployment.await("six pending parts", () -> deployment.attemptLog.all().size() == 6);
      Reply reply = deployment.sendSearch("/slots/_search", MATCH_ALL);
      assertError(reply, 429, "rejected_execution_exception");
      assertTrue(Integer.parseInt(reply.headers().get("retry-after")) >= 1);
      assertEquals(deployment.attemptLog.all().size(), 6);
    }
    assertError(
        deployment.sendSearch("/slots,clinics/_search", MATCH_ALL),
        400,
        "illegal_argument_exception");
  }

  @Test
  public void answersEachSearchOfMsearchSeparately() throws IOException {
    String body =
        "{}\n"
            + MATCH_ALL
            + "\n{\"index\":\"nowhere\"}\n{}\n{\"index\":[\"stock\"]}\n{\"size\":1}\n"
            + "{\"index\":\"bookings\"}\n{}\n{}\n{\"aggs\":{}}\n";
    Reply reply = deployment.sendSearch("/slots/_msearch", body, "Idempotency-Key: m");
    assertEquals(reply.status(), 200, reply.body());
    List<Integer> statuses = new ArrayList<>();
    reply
        .json()
        .path("responses")
        .forEach(response -> statuses.add(response.path("status").asInt()));
    assertEquals(statuses, List.of(200, 404, 200, 200, 400));
    assertEquals(reply.json().at("/responses/2/hits/hits").size(), 1);
    assertError(deployment.sendSearch("/_msearch", "{}\n{}"), 400, "illegal_argument_exception");
  }

  @Test
  public void mixedTrafficKeepsRulesOverBothProtocols() throws Exception {
    // One server of each zone has its own fault, and one server starts draining meanwhile.
    deployment.servers.get(1).behavior =
        (index, shard) -> index.equals("slots") ? Behavior.RESET : Behavior.ERROR;
    deployment.servers.get(4).behavior =
        (index, shard) -> shard == 4 ? Behavior.FULL : Behavior.SERVE;
    List<Reply> platform = new ArrayList<>();
    List<Reply> searches = new ArrayList<>();
    List<Throwable> failed = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    Object lock = new Object();
    for (int client = 0; client < 4; client++) {
      List<Reply> replies = client % 2 == 0 ? platform : searches;
      clients.add(startMixedClient(client, replies, failed, lock));
    }
    deployment.discovery.announce(deployment.servers.get(5), "draining");
    for (Thread thread : clients) {
      thread.join(TimeUnit.SECONDS.toMillis(60));
    }
    assertEquals(failed, List.of());
    assertEquals(platform.size() + searches.size(), 60, "one final answer each");
    // Shards 0 and 4 lose one or both replicas; most other answers over both protocols must be
    // complete.
    assertTrue(countServed(platform) >= 10, statuses(platform));
    assertTrue(countServed(searches) >= 10, statuses(searches));
    assertTrue(
        deployment.attemptLog.forProtocol("platform").size() > 0
            && deployment.attemptLog.forProtocol("opensearch").size() > 0);
    deployment.attemptLog.checkRules("platform");
    deployment.attemptLog.checkRules("opensearch");
  }

  /** Starts a client that sends 15 requests. The lists are modified under the lock only. */
  private Thread startMixedClient(
      int client, List<Reply> replies, List<Throwable> failed, Object lock) {
    Thread thread =
        new Thread(
            () -> {
              try {
                for (int number = 0; number < 15; number++) {
                  Reply reply =
                      client % 2 == 0
                          ? sendMixedQuery(client, number)
                          : sendMixedSearch(client, number);
                  synchronized (lock) {
                    replies.add(reply);
                  }
                }
              } catch (IOException | AssertionError e) {
                synchronized (lock) {
                  failed.add(e);
                }
              }
            });
    thread.start();
    return thread;
  }

  private Reply sendMixedQuery(int client, int number) throws IOException {
    return deployment.sendQuery(
        number % 3 == 0 ? "slot-booking" : "slot-search",
        "m" + client + "-" + number,
        number % 6,
        (number + 1) % 6);
  }

  private Reply sendMixedSearch(int client, int number) throws IOException {
    return number % 3 == 0
        ? deployment.sendSearch(
            "/bookings/_search", MATCH_ALL, "Idempotency-Key: m" + client + "-" + number)
        : deployment.sendSearch("/slots/_search", MATCH_ALL);
  }

  private static long countServed(List<Reply> replies) {
    return replies.stream().filter(reply -> reply.status() == 200).count();
  }

  private static String statuses(List<Reply> replies) {
    return replies.stream()
        .map(Reply::status)
        .sorted(Comparator.naturalOrder())
        .toList()
        .toString();
  }
}
