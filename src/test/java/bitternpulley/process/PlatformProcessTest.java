package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.Deployment.Reply;
import bitternpulley.process.StandIn.Act;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The platform's protocol against the real program. */
public class PlatformProcessTest extends ProcessTest {
  private void everyServer(Act act) {
    d.servers.forEach(s -> s.act = (index, section) -> act);
  }

  private String headOf(String part) {
    return d.servers.stream()
        .flatMap(s -> s.heads.stream())
        .filter(h -> h.startsWith(part + " "))
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void aQueryIsAnsweredWholeFromItsServersValues() throws IOException {
    Reply r = d.ask("stock-report", "q1", 0, 1, 2, 3, 4, 5);
    assertEquals(r.status(), 200);
    assertTrue(r.json().path("entire").asBoolean());
    assertEquals(r.json().path("items").size(), 6);
    r.json()
        .path("items")
        .forEach(
            i -> assertEquals(i.path("body").asText(), StandIn.value(i.path("slice").asInt())));
    assertTrue(headOf("q1.3").matches("q1\\.3 3 d=[0-9]+ 8\nc41e77d0"), headOf("q1.3"));
  }

  @Test
  public void onlyAKeyedClassSendsItsKey() throws IOException {
    assertEquals(d.ask("slot-booking", "b1", 2).status(), 200);
    assertTrue(headOf("b1.2").matches("b1\\.2 2 d=[0-9]+,k=k-b1 8\nc41e77d0"), headOf("b1.2"));
    String without =
        Deployment.query("slot-booking", "b2", 4, 2).replaceAll("Idempotency-Key: k-b2\r\n", "");
    assertEquals(Deployment.call(d.listen, without, "").status(), 400);
  }

  /**
   * Guards against a class of an effect that this program's first deployment has not: its clients
   * send no key.
   */
  @Test
  public void aClassThatMayNotBeRepeatedNeedsNoKeyAndIsNotRepeatedOnceItMayHaveRun()
      throws IOException {
    d.close();
    d = new Deployment();
    ((com.fasterxml.jackson.databind.node.ObjectNode) d.config().at("/settings/requestClasses/2"))
        .put("effect", "side_effect");
    d.startAndAwaitReady();
    String query =
        Deployment.query("stock-report", "u1", 4, 2).replaceAll("Idempotency-Key: [^\r]*\r\n", "");
    assertEquals(Deployment.call(d.listen, query, "").status(), 200);
    everyServer(Act.FULL);
    assertEquals(
        Deployment.call(d.listen, query.replace("u1", "u2"), "").status(), 429, "it has never run");
    everyServer(Act.RESET);
    assertEquals(
        Deployment.call(d.listen, query.replace("u1", "u3"), "").status(), 500, "it may have run");
    assertEquals(d.log.all().stream().filter(a -> a.part.startsWith("u3")).count(), 1);
    assertTrue(d.servers.stream().flatMap(s -> s.heads.stream()).noneMatch(h -> h.contains(",k=")));
  }

  @Test
  public void aPartThatOneServerFailsIsServedByTheOther() throws IOException {
    for (Act bad : List.of(Act.ERROR, Act.FULL, Act.RESET, Act.GARBAGE)) {
      d.servers.get(2).act = (index, section) -> bad;
      Reply r = d.ask("slot-search", "f-" + bad, 1, 2);
      assertEquals(r.status(), 200, bad + ": " + r.body());
      assertTrue(r.json().path("entire").asBoolean());
    }
  }

  /**
   * Guards against a spoilt answer that is passed on, waited for, or held against more than its own
   * attempt.
   */
  @Test
  public void aSpoiltAnswerIsAFailedAttemptAndSurplusBehindAGoodOneIsNot() throws IOException {
    for (Act act : EnumSet.range(Act.GARBAGE, Act.BAD_REPORT)) {
      for (StandIn s : d.servers) {
        Set<Integer> once = ConcurrentHashMap.newKeySet();
        s.act = (index, section) -> section != 2 || !once.add(section) ? Act.SERVE : act;
      }
      int before = d.log.all().size();
      Reply r = d.ask("slot-search", "spoilt-" + act, 2);
      assertEquals(r.status(), 200, act + ": " + r.body());
      assertEquals(
          r.json().path("items").path(0).path("body").asText(), StandIn.value(2), act.name());
      int tries = d.log.all().size() - before;
      assertTrue(act.compareTo(Act.TWICE) < 0 ? tries > 1 : tries == 1, act + " took " + tries);
    }
  }

  @Test
  public void aServerThatIsDownIsPassedBy() throws IOException {
    d.servers.get(2).close();
    Reply r = d.ask("slot-search", "down", 1, 2);
    assertEquals(r.status(), 200, r.body());
  }

  @Test
  public void fourAttemptsAreTheMostAndThenAnAnswerComesAtOnce() throws IOException {
    everyServer(Act.ERROR);
    Reply r = d.ask("slot-search", "e", 0);
    assertEquals(r.status(), 429, r.body());
    assertTrue(Double.parseDouble(r.headers().get("retry-after")) > 0);
    assertEquals(d.log.all().size(), 4);
    assertEquals(
        d.ask("slot-booking", "eb", 0).status(), 500, "work that may have run is not refused");
  }

  @Test
  public void aQueryBeyondWhatMayBeHeldIsRefusedUnsent() throws IOException {
    restartHolding(7);
    everyServer(Act.SILENT);
    try (Socket client = Deployment.connect(d.listen)) {
      client
          .getOutputStream()
          .write(Deployment.query("slot-search", "held", 4.5, 0, 1, 2, 3, 4, 5).getBytes());
      Deployment.await("six parts held", () -> d.log.all().size() == 6);
      assertEquals(
          d.ask("slot-search", "small", 0).status(), 429, "a query and six parts are held");
      assertEquals(d.log.all().size(), 6);
    }
    everyServer(Act.SERVE);
    Deployment.await("their places are free", () -> status("later", 0, 1) == 200);
  }

  private int status(String id, int... parts) {
    try {
      return d.ask("slot-search", id + System.nanoTime(), parts).status();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  public void aClientThatLeavesHasItsPartsGivenUp() throws IOException {
    everyServer(Act.SILENT);
    try (Socket client = Deployment.connect(d.listen)) {
      client.getOutputStream().write(Deployment.query("slot-search", "gone", 4.5, 0, 1).getBytes());
      Deployment.await("both parts sent", () -> d.log.all().size() == 2);
    }
    Deployment.await(
        "both given up", () -> d.log.all().stream().allMatch(AttemptLog.Attempt::over));
  }

  @Test
  public void splitAndChunkedAndLargeBodiesAreRead() throws IOException {
    String plain = Deployment.query("slot-search", "split", 4.5, 0);
    try (Socket client = Deployment.connect(d.listen)) {
      for (byte b : plain.getBytes(StandardCharsets.UTF_8)) {
        client.getOutputStream().write(b);
      }
      assertEquals(Deployment.reply(client).status(), 200);
      String body = plain.substring(plain.indexOf("\r\n\r\n") + 4);
      String chunked =
          plain
                  .substring(0, plain.indexOf("\r\n\r\n") + 4)
                  .replace("split", "chunked")
                  .replaceAll("Content-Length: [0-9]+", "Transfer-Encoding: chunked")
              + "5;x=y\r\n"
              + body.substring(0, 5)
              + "\r\n"
              + Integer.toHexString(body.length() - 5)
              + "\r\n"
              + body.substring(5)
              + "\r\n0\r\nTrailer: t\r\n\r\n";
      client.getOutputStream().write(chunked.getBytes(StandardCharsets.UTF_8));
      assertEquals(Deployment.reply(client).status(), 200);
    }
    int most = 64 * 1024;
    String body = plain.substring(plain.indexOf("\r\n\r\n") + 4);
    String full = body.replace("c41e77d0", "f".repeat(most - body.length() + 8));
    String head = plain.substring(0, plain.indexOf("Content-Length")).replace("split", "full");
    assertEquals(
        Deployment.call(d.listen, head + "Content-Length: " + most + "\r\n\r\n", full).status(),
        200);
    assertEquals(
        Deployment.call(d.listen, head + "Content-Length: " + (most + 1) + "\r\n\r\n", full + " ")
            .status(),
        413);
  }

  @Test
  public void badInputEndsNothingButItself() throws IOException {
    for (String bad :
        List.of(
            "nonsense\r\n\r\n",
            "POST /slot-search HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            Deployment.query("slot-search", "bad", 4, 0).replace("c41e77d0\"", "c41e77d0x"),
            Deployment.query("slot-search", "b d", 4, 0),
            Deployment.query("slot-search", "range", 4, 99),
            Deployment.query("slot-search", "twice", 4, 1, 1),
            Deployment.query("slot-search", "time", 4, 0)
                .replace("Request-Timeout: 4.0", "Request-Timeout: soon"),
            Deployment.query("slot-search", "time", 4, 0)
                .replace("Request-Timeout: 4.0", "Request-Timeout: -4"),
            Deployment.query("slot-search", "none", 0, 0),
            Deployment.query("slot-search", "", 4, 0),
            Deployment.query("slot-search", "a,b", 4, 0),
            Deployment.query("slot-search", "noid", 4, 0).replace("Request-Id", "R"),
            Deployment.query("slot-search", "sum", 4, 0).replace("1.0", "0.7"),
            Deployment.query("slot-search", "big", 4, 0).replace("1.0", "1.7"),
            Deployment.query("slot-search", "neg", 4, 0, 1).replace("0.5", "-.5"),
            Deployment.query("slot-search", "key", 4, 0).replace("\"filter\":", "\"slices\":"))) {
      assertEquals(Deployment.call(d.listen, bad, "").status(), 400, bad);
    }
    assertEquals(
        Deployment.call(d.listen, Deployment.query("no-class", "x", 4, 0), "").status(), 404);
    assertEquals(Deployment.call(d.listen, "GET /slot-search HTTP/1.1\r\n\r\n", "").status(), 405);
    assertEquals(d.ask("slot-search", "after", 0).status(), 200);
    assertEquals(d.log.all().size(), 1);
  }

  /** Guards against a request hidden in another's body, where two lengths disagree. */
  @Test
  public void nothingBehindALengthAndACodingIsPassedOn() throws IOException {
    String hidden = Deployment.query("slot-search", "hidden", 4, 0);
    try (Socket client = Deployment.connect(d.listen)) {
      client
          .getOutputStream()
          .write(
              ("POST /slot-search HTTP/1.1\r\nRequest-Id: outer\r\nContent-Length: 4\r\n"
                      + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                      + hidden)
                  .getBytes(StandardCharsets.UTF_8));
      assertEquals(Deployment.reply(client).status(), 400);
      assertEquals(client.getInputStream().read(), -1);
    }
    assertEquals(d.ask("slot-search", "after", 0).status(), 200);
    assertEquals(d.log.all().size(), 1);
  }

  /** Guards against two queries whose parts have the same names. */
  @Test
  public void theIdOfAnOpenRequestIsRefusedAndTheOpenOneGoesOn() throws IOException {
    everyServer(Act.SILENT);
    try (Socket client = Deployment.connect(d.listen)) {
      client.getOutputStream().write(Deployment.query("slot-search", "same", 4.0, 0).getBytes());
      Deployment.await("it is sent", () -> d.log.all().size() == 1);
      everyServer(Act.SERVE);
      assertEquals(d.ask("slot-search", "same", 0).status(), 409);
      assertEquals(Deployment.reply(client).status(), 200);
    }
    assertEquals(d.ask("slot-search", "same", 0).status(), 200, "free again once it is over");
  }

  /** Guards against an error that a reset overtakes while its client is still writing. */
  @Test
  public void aClientThatWritesFarTooMuchReadsItsError() throws IOException {
    try (Socket client = Deployment.connect(d.listen)) {
      int size = 60_000_000;
      client
          .getOutputStream()
          .write(("POST /slot-search HTTP/1.1\r\nContent-Length: " + size + "\r\n\r\n").getBytes());
      for (int sent = 0; sent < size; sent += 1_000_000) {
        client.getOutputStream().write(new byte[1_000_000]);
      }
      assertEquals(Deployment.reply(client).status(), 413);
    }
  }

  /** Guards against silent connections that take up all descriptors. */
  @Test
  public void silentConnectionsKeepNobodyOut() throws IOException {
    List<Socket> silent = new ArrayList<>();
    try {
      for (int i = 0; i < 1100; i++) {
        silent.add(Deployment.connect(d.listen));
      }
      assertEquals(d.ask("slot-search", "heard", 0).status(), 200);
      for (Socket s : silent) {
        assertEquals(s.getInputStream().read(), -1, "closed, long before it says anything");
      }
    } finally {
      for (Socket s : silent) {
        s.close();
      }
    }
  }

  /** Guards against an agent of discovery that lags behind the one before it. */
  @Test
  public void anOlderRevisionTakesNothingBack() throws IOException {
    StandIn removed = d.servers.get(1);
    d.tell(removed, "removed");
    d.tellOf(40, removed, "up");
    d.tell(d.servers.get(4), "removed"); // once this is heeded, so was what came before
    d.servers.get(3).act = (index, section) -> Act.ERROR;
    Deployment.await(
        "the second removal is heeded",
        () -> {
          try {
            return d.ask("slot-search", "o" + System.nanoTime(), 3).status() != 200;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    int before = removed.heads.size();
    for (int i = 0; i < 10; i++) {
      assertEquals(d.ask("slot-search", "n" + i, 0, 1).status(), 200);
    }
    assertEquals(removed.heads.size(), before);
  }

  @Test
  public void aDrainingServerGetsNothingNewAndTheWatchResumes() throws IOException {
    StandIn draining = d.servers.get(1);
    d.tell(draining, "draining");
    // Told once the line is read, which a query answered without that server shows.
    Deployment.await(
        "the drain is heeded",
        () -> {
          try {
            int before = draining.heads.size();
            boolean served = d.ask("slot-search", "p" + System.nanoTime(), 0, 1).status() == 200;
            return served && draining.heads.size() == before;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    draining.drainingSince = System.nanoTime();
    int before = draining.heads.size();
    for (int i = 0; i < 20; i++) {
      assertEquals(d.ask("slot-search", "d" + i, 0, 1).status(), 200);
    }
    assertEquals(draining.heads.size(), before);
    d.breakWatches();
    Deployment.await(
        "a watch from the last revision",
        () -> d.watches.stream().anyMatch(w -> w.contains("watch=1&from=42")));
    draining.drainingSince = 0;
    d.tell(draining, "up");
    d.servers.stream()
        .filter(o -> o != draining)
        .forEach(o -> o.act = (index, section) -> Act.ERROR);
    Deployment.await(
        "the server is used again",
        () -> {
          try {
            return d.ask("slot-search", "u" + System.nanoTime(), 0, 1).status() == 200;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  @DataProvider
  public Object[][] handshakes() {
    return new Object[][] {{0.0}, {0.02}};
  }

  /**
   * Guards against sends by the list of long ago while what discovery tells at the start waits for
   * its turn.
   */
  @Test(dataProvider = "handshakes")
  public void nothingIsSentBeforeDiscoverysFirstWord(double price) throws Exception {
    d.close();
    d = new Deployment();
    ((com.fasterxml.jackson.databind.node.ObjectNode) d.config().path("settings"))
        .putObject("costs")
        .put("handshake", price);
    // Of its own zone, and so the one that would be asked.
    d.firstWord =
        () -> {
          LockSupport.parkNanos(
              350_000_000); // as an agent short of room: within the time that a start waits for it
          return Deployment.list(false, List.of(d.servers.get(2)), "draining").put("revision", 42);
        };
    d.start();
    Deployment.await(
        "an answer",
        () -> {
          try {
            return d.ask("slot-search", "first" + System.nanoTime(), 1, 2).status() == 200;
          } catch (IOException e) {
            return false; // it does not listen yet
          }
        });
    for (int i = 0; i < 10; i++) {
      assertEquals(d.ask("slot-search", "next" + i, 1, 2).status(), 200);
    }
    assertEquals(d.servers.get(2).heads.size(), 0);
  }

  /** Guards against a watch that goes on in silence while what it should tell counts as told. */
  @Test
  public void aSilentWatchIsTakenUpAgain() {
    Deployment.await("a second watch", () -> d.watches.size() >= 2);
  }

  /** Guards against one entry that cannot be read keeping the rest of a list from being heard. */
  @Test
  public void anEntryThatCannotBeUsedIsPassedOver() throws IOException {
    d.servers.get(1).act = (index, section) -> Act.ERROR;
    d.servers.get(3).act = (index, section) -> Act.ERROR;
    d.tell(d.servers.get(1), "melting");
    d.tell(d.servers.get(2), "removed");
    Deployment.await(
        "the removal is heeded",
        () -> {
          try {
            return d.ask("slot-search", "r" + System.nanoTime(), 1, 2).status() != 200;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  @Test
  public void whatWasTakenBeforeSigtermIsAnswered() throws Exception {
    everyServer(Act.SILENT);
    try (Socket client = Deployment.connect(d.listen);
        Socket idle = Deployment.connect(d.listen)) {
      client.getOutputStream().write(Deployment.query("slot-search", "held", 2.0, 0).getBytes());
      Deployment.await("it is sent", () -> d.log.all().size() == 1);
      d.process.destroy();
      Deployment.await("draining", () -> !ready());
      everyServer(Act.SERVE);
      Reply late = Deployment.call(d.listen, Deployment.query("slot-search", "late", 4, 3), "");
      assertEquals(late.status(), 200, "connections are taken for a while after SIGTERM");
      assertEquals(late.headers().get("connection"), "close");
      Reply held = Deployment.reply(client);
      assertTrue(held.status() == 200 || held.status() == 429, held.body());
      assertEquals(held.headers().get("connection"), "close");
      assertEquals(idle.getInputStream().read(), -1);
    }
    assertTrue(d.process.waitFor(30, TimeUnit.SECONDS));
    assertFalse(
        d.output.stream().anyMatch(l -> l.contains("ERROR") || l.contains("SEVERE")),
        d.output.toString());
  }

  /**
   * Guards against a program that SIGHUP ends, and against a watch that stays where discovery no
   * longer is.
   */
  @Test
  public void onSighupTheWatchMovesAndNothingIsForgotten() throws Exception {
    d.tell(d.servers.get(1), "removed");
    everyServer(Act.SILENT);
    try (Socket client = Deployment.connect(d.listen)) {
      client.getOutputStream().write(Deployment.query("slot-search", "held", 4.0, 2).getBytes());
      Deployment.await("it is sent", () -> d.log.all().size() == 1);
      int before = d.watches.size();
      d.moveDiscovery();
      d.hangup(d.config().toString());
      Deployment.await(
          "a watch from the revision reached",
          () ->
              d.watches.size() > before && d.watches.get(d.watches.size() - 1).contains("from=42"));
      everyServer(Act.SERVE);
      assertEquals(Deployment.reply(client).status(), 200, "a request in work goes on");
    }
    assertEquals(d.ask("slot-search", "without", 0, 1).status(), 200, "the removal is remembered");
    assertTrue(d.servers.get(1).heads.isEmpty());
    d.tell(d.servers.get(2), "removed");
    Deployment.await(
        "an answer without the server removed",
        () -> {
          try {
            int calls = d.servers.get(2).heads.size();
            return d.ask("slot-search", "m" + System.nanoTime(), 2).status() == 200
                && d.servers.get(2).heads.size() == calls;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  @Test
  public void aFileThatCannotBeUsedChangesNothing() throws Exception {
    d.hangup(d.config().toString().replace("\"discovery\":\"127", "\"discovery\":\"here"));
    Deployment.await("the key", () -> d.output.stream().anyMatch(l -> l.contains("'discovery'")));
    d.hangup("{");
    Deployment.await(
        "the variable", () -> d.output.stream().anyMatch(l -> l.contains("LB_CONFIG")));
    assertEquals(d.ask("slot-search", "on", 0, 1).status(), 200);
  }

  @Test
  public void aFaultyConfigurationIsNamed() throws Exception {
    try (Deployment bad = new Deployment()) {
      ((com.fasterxml.jackson.databind.node.ObjectNode)
              bad.config().at("/settings/requestClasses/1"))
          .put("deadline", -4);
      bad.start();
      assertTrue(bad.process.waitFor(30, TimeUnit.SECONDS));
      assertEquals(bad.process.exitValue(), 2);
      Deployment.await("the key", () -> bad.output.stream().anyMatch(l -> l.contains("deadline")));
    }
  }
}
