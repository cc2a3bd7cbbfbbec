package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.FakeSlotServer.Behavior;
import bitternpulley.process.TestClient.Reply;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The platform front end of the real program, and its frame protocol with slot servers. */
public class PlatformProcessTest extends ProcessTest {
  private int statusOf(String request) throws IOException {
    return TestClient.exchange(deployment.listenAddress, request, "").status();
  }

  private String requestOf(String part) {
    return deployment.servers.stream()
        .flatMap(server -> server.requests.stream())
        .filter(request -> request.startsWith(part + " "))
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void answersCompletelyWithTheValuesOfTheServers() throws IOException {
    Reply reply = deployment.sendQuery("stock-report", "q1", 0, 1, 2, 3, 4, 5);
    assertEquals(reply.status(), 200);
    assertTrue(reply.json().path("entire").asBoolean());
    assertEquals(reply.json().path("items").size(), 6);
    reply
        .json()
        .path("items")
        .forEach(
            item ->
                assertEquals(
                    item.path("body").asText(), FakeSlotServer.value(item.path("slice").asInt())));
    assertTrue(requestOf("q1.3").matches("q1\\.3 3 d=[0-9]+ 8\nc41e77d0"), requestOf("q1.3"));
  }

  @Test
  public void sendsIdempotencyKeyOnlyForKeyedClass() throws IOException {
    assertEquals(deployment.sendQuery("slot-booking", "b1", 2).status(), 200);
    assertTrue(
        requestOf("b1.2").matches("b1\\.2 2 d=[0-9]+,k=k-b1 8\nc41e77d0"), requestOf("b1.2"));
    String withoutKey =
        TestClient.queryRequest("slot-booking", "b2", 4, 2)
            .replaceAll("Idempotency-Key: k-b2\r\n", "");
    assertEquals(statusOf(withoutKey), 400);
  }

  /** Clients of a class that is neither idempotent nor keyed send no idempotency key. */
  @Test
  public void nonIdempotentClassNeedsNoKeyAndIsNotRetriedOnceItMayHaveRun() throws IOException {
    deployment.close();
    deployment = new Deployment();
    ((ObjectNode) deployment.config().at("/settings/requestClasses/2"))
        .put("effect", "side_effect");
    deployment.startAndAwaitReady();
    String query =
        TestClient.queryRequest("stock-report", "u1", 4, 2)
            .replaceAll("Idempotency-Key: [^\r]*\r\n", "");
    assertEquals(statusOf(query), 200);
    setAllServers(Behavior.FULL);
    assertEquals(statusOf(query.replace("u1", "u2")), 429, "it has never run");
    setAllServers(Behavior.RESET);
    assertEquals(statusOf(query.replace("u1", "u3")), 500, "it may have run");
    assertEquals(
        deployment.attemptLog.all().stream()
            .filter(attempt -> attempt.part.startsWith("u3"))
            .count(),
        1);
    assertTrue(
        deployment.servers.stream()
            .flatMap(server -> server.requests.stream())
            .noneMatch(request -> request.contains(",k=")));
  }

  @Test
  public void retriesOnAnotherReplicaAfterFailure() throws IOException {
    for (Behavior failure :
        List.of(Behavior.ERROR, Behavior.FULL, Behavior.RESET, Behavior.GARBAGE)) {
      deployment.servers.get(2).behavior = (index, shard) -> failure;
      Reply reply = deployment.sendQuery("slot-search", "f-" + failure, 1, 2);
      assertEquals(reply.status(), 200, failure + ": " + reply.body());
      assertTrue(reply.json().path("entire").asBoolean());
    }
  }

  /**
   * Guards against an invalid result that is passed on, that is waited for, or that fails more than
   * its own attempt.
   */
  @Test
  public void invalidResultFailsItsAttemptAndSurplusDataDoesNot() throws IOException {
    for (Behavior behavior : EnumSet.range(Behavior.GARBAGE, Behavior.BAD_LOAD_REPORT)) {
      for (FakeSlotServer server : deployment.servers) {
        Set<Integer> seenShards = ConcurrentHashMap.newKeySet();
        server.behavior =
            (index, shard) -> shard != 2 || !seenShards.add(shard) ? Behavior.SERVE : behavior;
      }
      int attemptsBefore = deployment.attemptLog.all().size();
      Reply reply = deployment.sendQuery("slot-search", "spoilt-" + behavior, 2);
      assertEquals(reply.status(), 200, behavior + ": " + reply.body());
      assertEquals(
          reply.json().path("items").path(0).path("body").asText(),
          FakeSlotServer.value(2),
          behavior.name());
      int attempts = deployment.attemptLog.all().size() - attemptsBefore;
      assertTrue(
          behavior.compareTo(Behavior.DUPLICATE) < 0 ? attempts > 1 : attempts == 1,
          behavior + " took " + attempts + " attempts");
    }
  }

  @Test
  public void answersDespiteServerThatIsDown() throws IOException {
    deployment.servers.get(2).close();
    Reply reply = deployment.sendQuery("slot-search", "down", 1, 2);
    assertEquals(reply.status(), 200, reply.body());
  }

  @Test
  public void answersAtOnceAfterFourFailedAttempts() throws IOException {
    setAllServers(Behavior.ERROR);
    Reply reply = deployment.sendQuery("slot-search", "e", 0);
    assertEquals(reply.status(), 429, reply.body());
    assertTrue(Double.parseDouble(reply.headers().get("retry-after")) > 0);
    assertEquals(deployment.attemptLog.all().size(), 4);
    assertEquals(
        deployment.sendQuery("slot-booking", "eb", 0).status(),
        500,
        "work that may have run is not rejected");
  }

  @Test
  public void rejectsQueryBeyondPendingLimitWithoutSendingIt() throws IOException {
    restartWithMaxPending(7);
    setAllServers(Behavior.SILENT);
    try (Socket client = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(
          client, TestClient.queryRequest("slot-search", "held", 4.5, 0, 1, 2, 3, 4, 5));
      Deployment.await("six pending parts", () -> deployment.attemptLog.all().size() == 6);
      assertEquals(
          deployment.sendQuery("slot-search", "small", 0).status(),
          429,
          "a query and six parts are pending");
      assertEquals(deployment.attemptLog.all().size(), 6);
    }
    setAllServers(Behavior.SERVE);
    Deployment.await("capacity to be free again", () -> queryStatus("later", 0, 1) == 200);
  }

  @Test
  public void cancelsPartsOfDisconnectedClient() throws IOException {
    setAllServers(Behavior.SILENT);
    try (Socket client = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(client, TestClient.queryRequest("slot-search", "gone", 4.5, 0, 1));
      Deployment.await("both parts to be sent", () -> deployment.attemptLog.all().size() == 2);
    }
    Deployment.await(
        "both attempts to end",
        () -> deployment.attemptLog.all().stream().allMatch(AttemptLog.Attempt::hasEnded));
  }

  @Test
  public void readsSplitChunkedAndLargeBodies() throws IOException {
    String plainRequest = TestClient.queryRequest("slot-search", "split", 4.5, 0);
    try (Socket client = TestClient.connect(deployment.listenAddress)) {
      for (byte single : plainRequest.getBytes(StandardCharsets.UTF_8)) {
        client.getOutputStream().write(single);
      }
      assertEquals(TestClient.readReply(client).status(), 200);
      String body = plainRequest.substring(plainRequest.indexOf("\r\n\r\n") + 4);
      String chunked =
          plainRequest
                  .substring(0, plainRequest.indexOf("\r\n\r\n") + 4)
                  .replace("split", "chunked")
                  .replaceAll("Content-Length: [0-9]+", "Transfer-Encoding: chunked")
              + "5;x=y\r\n"
              + body.substring(0, 5)
              + "\r\n"
              + Integer.toHexString(body.length() - 5)
              + "\r\n"
              + body.substring(5)
              + "\r\n0\r\nTrailer: t\r\n\r\n";
      TestClient.send(client, chunked);
      assertEquals(TestClient.readReply(client).status(), 200);
    }
    int maxBodyBytes = 64 * 1024;
    String body = plainRequest.substring(plainRequest.indexOf("\r\n\r\n") + 4);
    String full = body.replace("c41e77d0", "f".repeat(maxBodyBytes - body.length() + 8));
    String head =
        plainRequest.substring(0, plainRequest.indexOf("Content-Length")).replace("split", "full");
    assertEquals(statusOf(head + "Content-Length: " + maxBodyBytes + "\r\n\r\n" + full), 200);
    assertEquals(
        statusOf(head + "Content-Length: " + (maxBodyBytes + 1) + "\r\n\r\n" + full + " "), 413);
  }

  @Test
  public void rejectsInvalidRequestsAndServesOthers() throws IOException {
    for (String invalid :
        List.of(
            "nonsense\r\n\r\n",
            "POST /slot-search HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            TestClient.queryRequest("slot-search", "bad", 4, 0).replace("c41e77d0\"", "c41e77d0x"),
            TestClient.queryRequest("slot-search", "b d", 4, 0),
            TestClient.queryRequest("slot-search", "range", 4, 99),
            TestClient.queryRequest("slot-search", "twice", 4, 1, 1),
            TestClient.queryRequest("slot-search", "time", 4, 0)
                .replace("Request-Timeout: 4.0", "Request-Timeout: soon"),
            TestClient.queryRequest("slot-search", "time", 4, 0)
                .replace("Request-Timeout: 4.0", "Request-Timeout: -4"),
            TestClient.queryRequest("slot-search", "none", 0, 0),
            TestClient.queryRequest("slot-search", "", 4, 0),
            TestClient.queryRequest("slot-search", "a,b", 4, 0),
            TestClient.queryRequest("slot-search", "noid", 4, 0).replace("Request-Id", "R"),
            TestClient.queryRequest("slot-search", "sum", 4, 0).replace("1.0", "0.7"),
            TestClient.queryRequest("slot-search", "big", 4, 0).replace("1.0", "1.7"),
            TestClient.queryRequest("slot-search", "neg", 4, 0, 1).replace("0.5", "-.5"),
            TestClient.queryRequest("slot-search", "key", 4, 0)
                .replace("\"filter\":", "\"slices\":"))) {
      assertEquals(statusOf(invalid), 400, invalid);
    }
    assertEquals(statusOf(TestClient.queryRequest("no-class", "x", 4, 0)), 404);
    assertEquals(statusOf("GET /slot-search HTTP/1.1\r\n\r\n"), 405);
    assertEquals(deployment.sendQuery("slot-search", "after", 0).status(), 200);
    assertEquals(deployment.attemptLog.all().size(), 1);
  }

  /** Guards against request smuggling by a length that contradicts the transfer coding. */
  /** Deep nesting overflowed the stack, after which neither an error nor a close came. */
  @Test
  public void rejectsDeeplyNestedBodies() throws IOException {
    for (int levels : new int[] {250, 990, 5000}) {
      String body =
          "{\"slices\":"
              + "{\"a\":".repeat(levels)
              + "1"
              + "}".repeat(levels)
              + ",\"filter\":\"c\"}";
      String head =
          "POST /slot-search HTTP/1.1\r\nRequest-Id: nested"
              + levels
              + "\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n";
      assertEquals(TestClient.exchange(deployment.listenAddress, head, body).status(), 400);
    }
    assertTrue(deployment.output.stream().noneMatch(line -> line.contains("StackOverflowError")));
  }

  @Test
  public void rejectsRequestWithLengthAndTransferCoding() throws IOException {
    String hidden = TestClient.queryRequest("slot-search", "hidden", 4, 0);
    try (Socket client = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(
          client,
          "POST /slot-search HTTP/1.1\r\nRequest-Id: outer\r\nContent-Length: 4\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
              + hidden);
      assertEquals(TestClient.readReply(client).status(), 400);
      assertEquals(client.getInputStream().read(), -1);
    }
    assertEquals(deployment.sendQuery("slot-search", "after", 0).status(), 200);
    assertEquals(deployment.attemptLog.all().size(), 1);
  }

  /** Guards against two pending queries whose parts have the same ids. */
  @Test
  public void rejectsIdOfPendingRequestAndAnswersThePendingOne() throws IOException {
    setAllServers(Behavior.SILENT);
    try (Socket client = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(client, TestClient.queryRequest("slot-search", "same", 4.0, 0));
      Deployment.await("the query to be sent", () -> deployment.attemptLog.all().size() == 1);
      setAllServers(Behavior.SERVE);
      assertEquals(deployment.sendQuery("slot-search", "same", 0).status(), 409);
      assertEquals(TestClient.readReply(client).status(), 200);
    }
    assertEquals(
        deployment.sendQuery("slot-search", "same", 0).status(),
        200,
        "the id is free again after the answer");
  }

  /** Guards against a reset that discards the error while the client is still writing. */
  @Test
  public void clientThatSendsTooLargeBodyReadsTheError() throws IOException {
    try (Socket client = TestClient.connect(deployment.listenAddress)) {
      int size = 60_000_000;
      TestClient.send(client, "POST /slot-search HTTP/1.1\r\nContent-Length: " + size + "\r\n\r\n");
      for (int sent = 0; sent < size; sent += 1_000_000) {
        client.getOutputStream().write(new byte[1_000_000]);
      }
      assertEquals(TestClient.readReply(client).status(), 413);
    }
  }

  /** Guards against silent connections that use all descriptors. */
  @Test
  public void servesClientsDespiteSilentConnections() throws IOException {
    List<Socket> silentClients = new ArrayList<>();
    try {
      for (int i = 0; i < 1100; i++) {
        silentClients.add(TestClient.connect(deployment.listenAddress));
      }
      assertEquals(deployment.sendQuery("slot-search", "heard", 0).status(), 200);
      for (Socket client : silentClients) {
        assertEquals(client.getInputStream().read(), -1, "closed before it sends anything");
      }
    } finally {
      for (Socket client : silentClients) {
        client.close();
      }
    }
  }

  @Test
  public void answersRequestsAcceptedBeforeSigterm() throws Exception {
    setAllServers(Behavior.SILENT);
    try (Socket client = TestClient.connect(deployment.listenAddress);
        Socket idle = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(client, TestClient.queryRequest("slot-search", "held", 2.0, 0));
      Deployment.await("the query to be sent", () -> deployment.attemptLog.all().size() == 1);
      deployment.process.destroy();
      Deployment.await("the program to drain", () -> !isReady());
      setAllServers(Behavior.SERVE);
      Reply late =
          TestClient.exchange(
              deployment.listenAddress, TestClient.queryRequest("slot-search", "late", 4, 3), "");
      assertEquals(late.status(), 200, "connections are accepted for a while after SIGTERM");
      assertEquals(late.headers().get("connection"), "close");
      Reply pending = TestClient.readReply(client);
      assertTrue(pending.status() == 200 || pending.status() == 429, pending.body());
      assertEquals(pending.headers().get("connection"), "close");
      assertEquals(idle.getInputStream().read(), -1);
    }
    assertTrue(deployment.process.waitFor(30, TimeUnit.SECONDS));
    assertFalse(
        deployment.output.stream()
            .anyMatch(line -> line.contains("ERROR") || line.contains("SEVERE")),
        deployment.output.toString());
  }

  @Test
  public void keepsConfigurationWhenNewFileIsInvalid() throws Exception {
    deployment.reloadBySighup(
        deployment.config().toString().replace("\"discovery\":\"127", "\"discovery\":\"here"));
    Deployment.await(
        "the key in the log",
        () -> deployment.output.stream().anyMatch(line -> line.contains("'discovery'")));
    deployment.reloadBySighup("{");
    Deployment.await(
        "the variable in the log",
        () -> deployment.output.stream().anyMatch(line -> line.contains("LB_CONFIG")));
    assertEquals(deployment.sendQuery("slot-search", "on", 0, 1).status(), 200);
  }

  @Test
  public void exitsNamingTheKeyOfInvalidConfiguration() throws Exception {
    try (Deployment invalid = new Deployment()) {
      ((ObjectNode) invalid.config().at("/settings/requestClasses/1")).put("deadline", -4);
      invalid.start();
      assertTrue(invalid.process.waitFor(30, TimeUnit.SECONDS));
      assertEquals(invalid.process.exitValue(), 2);
      Deployment.await(
          "the key in the log",
          () -> invalid.output.stream().anyMatch(line -> line.contains("deadline")));
    }
  }
}
