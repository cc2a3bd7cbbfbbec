package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.FakeSlotServer.Behavior;
import bitternpulley.process.TestClient.Reply;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What the real program does when clients disconnect, at its shutdown and at its start. */
public class EndingsProcessTest extends ProcessTest {
  /** Time after a disconnect from which on no attempt is sent for the client. */
  private static final long DISCONNECT_SETTLE_MS = 300;

  /**
   * The platform may kill the program this long after SIGTERM: the longest deadline, counted as at
   * most 3 s, and some time for the program to exit.
   */
  private static final long KILL_AFTER_MS = 3700;

  private Socket send(String query) throws IOException {
    Socket client = TestClient.connect(deployment.listenAddress);
    TestClient.send(client, query);
    return client;
  }

  /**
   * Sends many more queries than the servers have capacity for, so that most wait for their first
   * attempt. Then disconnects all clients, and checks that nothing more is sent for them.
   */
  private void disconnectBurst(boolean reset) throws Exception {
    setAllServers(Behavior.SILENT);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      clients.add(
          send(
              TestClient.queryRequest(
                  i % 3 == 0 ? "slot-booking" : "slot-search", "b" + reset + i, 4.5, i % 6)));
    }
    Deployment.await("some attempts to be sent", () -> deployment.attemptLog.all().size() >= 4);
    for (Socket client : clients) {
      client.setSoLinger(reset, 0);
      client.close();
    }
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DISCONNECT_SETTLE_MS));
    int sentBefore = deployment.attemptLog.all().size();
    setAllServers(Behavior.SERVE);
    for (int i = 0; i < 6; i++) {
      int shard = i;
      // Without cancellation, attempts that were sent use capacity until they time out.
      Deployment.await("capacity to be available again", () -> queryStatus("after", shard) == 200);
    }
    assertTrue(
        deployment.attemptLog.all().subList(sentBefore, deployment.attemptLog.all().size()).stream()
            .allMatch(attempt -> attempt.part.startsWith("after")),
        deployment.attemptLog.all().toString());
  }

  @Test
  public void sendsNothingForDisconnectedClients() throws Exception {
    disconnectBurst(false);
    disconnectBurst(true);
  }

  /** Without cancellation, attempts that were sent continue, but no further ones are sent. */
  @Test
  public void sendsNothingForDisconnectedClientsWithoutCancellation() throws Exception {
    deployment.close();
    deployment = new Deployment();
    ((ObjectNode) deployment.config().at("/settings/policyLimits")).put("mayCancel", false);
    deployment.startAndAwaitReady();
    disconnectBurst(false);
  }

  private void assertShutDownInTime(long signalledAt) throws Exception {
    assertTrue(deployment.process.waitFor(30, TimeUnit.SECONDS));
    long elapsedMs = (System.nanoTime() - signalledAt) / 1_000_000;
    assertEquals(deployment.process.exitValue(), 0);
    assertTrue(elapsedMs < KILL_AFTER_MS, "the shutdown took " + elapsedMs + " ms");
    assertFalse(
        deployment.output.stream()
            .anyMatch(line -> line.contains("ERROR") || line.contains("SEVERE")),
        deployment.output.toString());
  }

  /**
   * Each request gets one answer: those in flight at servers that do not answer, those only half
   * read, and those of a keyed class that may have run. SIGTERM comes twice.
   */
  @Test
  public void answersEveryPendingRequestOnceAfterSigterm() throws Exception {
    setAllServers(Behavior.SILENT);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      clients.add(
          send(
              TestClient.queryRequest(
                  i % 2 == 0 ? "slot-booking" : "slot-search", "h" + i, 1.5, i)));
    }
    Deployment.await("some attempts to be sent", () -> deployment.attemptLog.all().size() >= 3);
    String splitRequest = TestClient.queryRequest("slot-search", "half", 1.5, 0);
    Socket halfSent = send(splitRequest.substring(0, 60));
    long signalledAt = System.nanoTime();
    deployment.process.destroy();
    Deployment.await("the program to drain", () -> !isReady());
    TestClient.send(halfSent, splitRequest.substring(60));
    clients.add(halfSent);
    deployment.process.destroy();
    clients.add(send(TestClient.queryRequest("slot-search", "coming", 1.5, 3)));
    for (int i = 0; i < clients.size(); i++) {
      Reply reply = TestClient.readReply(clients.get(i));
      String part = "h" + i + ".";
      boolean keyedAndSent =
          i % 2 == 0
              && deployment.attemptLog.all().stream()
                  .anyMatch(attempt -> attempt.part.startsWith(part));
      assertTrue(
          reply.status() == 500 || (!keyedAndSent && reply.status() == 429),
          "answer to request " + i + ", which may have run: " + reply);
      assertEquals(clients.get(i).getInputStream().read(), -1, "one answer, then an orderly close");
      clients.get(i).close();
    }
    assertShutDownInTime(signalledAt);
  }

  /** Clients send one request after another on their connections until these are closed. */
  @Test
  public void answersEveryRequestOfPersistentClientsDuringShutdown() throws Exception {
    int clientCount = 8;
    AtomicInteger answers = new AtomicInteger();
    List<String> failures = new CopyOnWriteArrayList<>();
    CountDownLatch ended = new CountDownLatch(clientCount);
    for (int i = 0; i < clientCount; i++) {
      int client = i;
      FakeSlotServer.runInDaemonThread(
          () -> {
            try (Socket socket = TestClient.connect(deployment.listenAddress)) {
              sendUntilClosed(socket, "c" + client + "-", answers, failures);
            } finally {
              ended.countDown();
            }
          });
    }
    Deployment.await("answers to all clients", () -> answers.get() > 20 * clientCount);
    long signalledAt = System.nanoTime();
    deployment.process.destroy();
    assertTrue(ended.await(30, TimeUnit.SECONDS));
    assertEquals(failures, List.of());
    assertShutDownInTime(signalledAt);
  }

  private static void sendUntilClosed(
      Socket socket, String idPrefix, AtomicInteger answers, List<String> failures) {
    for (int number = 0; ; number++) {
      try {
        TestClient.send(
            socket, TestClient.queryRequest("slot-search", idPrefix + number, 2, number % 6));
        Reply reply = TestClient.readReply(socket);
        answers.incrementAndGet();
        if (reply.status() != 200 && reply.status() != 429) {
          failures.add(reply.toString());
        }
        if ("close".equals(reply.headers().get("connection"))) {
          break;
        }
      } catch (EOFException e) {
        break; // orderly close between requests: a client would send this request elsewhere
      } catch (IOException e) {
        failures.add(e.toString());
        break;
      }
    }
  }

  /** Neither a client that is idle after its answer nor one that never sends delays shutdown. */
  @Test
  public void idleClientsDoNotDelayShutdown() throws Exception {
    try (Socket idle = send(TestClient.queryRequest("slot-search", "r", 2, 0));
        Socket silent = TestClient.connect(deployment.listenAddress)) {
      assertEquals(TestClient.readReply(idle).status(), 200);
      long signalledAt = System.nanoTime();
      deployment.process.destroy();
      assertShutDownInTime(signalledAt);
      assertEquals(idle.getInputStream().read(), -1, "an orderly close");
      assertEquals(silent.getInputStream().read(), -1, "an orderly close");
    }
  }

  @Test
  public void answersWaitingClientsOnSigtermBeforeReadiness() throws Exception {
    CountDownLatch shutdownStarted = new CountDownLatch(1);
    deployment.close();
    deployment = new Deployment();
    deployment.discovery.withholdInitialList(shutdownStarted);
    deployment.start();
    Deployment.await("a watch", () -> !deployment.discovery.watchTargets.isEmpty());
    Socket[] client = new Socket[1];
    Deployment.await(
        "the program to listen",
        () -> {
          try {
            client[0] = send(TestClient.queryRequest("slot-search", "early", 2, 0));
            return true;
          } catch (IOException e) {
            return false;
          }
        });
    long signalledAt = System.nanoTime();
    deployment.process.destroy();
    int status = TestClient.readReply(client[0]).status();
    assertTrue(status == 200 || status == 429, "status " + status);
    client[0].close();
    shutdownStarted.countDown();
    assertShutDownInTime(signalledAt);
  }

  @SuppressWarnings("try") // the test closes the client before the end of the block
  @Test
  public void shutsDownOrderlyOnSigtermDuringReload() throws Exception {
    setAllServers(Behavior.SILENT);
    try (Socket client = send(TestClient.queryRequest("slot-search", "held", 1.5, 2))) {
      Deployment.await("the query to be sent", () -> deployment.attemptLog.all().size() >= 1);
      deployment.moveDiscovery();
      deployment.reloadBySighup(deployment.config().toString());
      long signalledAt = System.nanoTime();
      deployment.process.destroy();
      assertTrue(TestClient.readReply(client).status() >= 429);
      assertEquals(client.getInputStream().read(), -1);
      client.close();
      assertShutDownInTime(signalledAt);
    }
  }

  @DataProvider
  public Object[][] handshakeCosts() {
    return new Object[][] {{0.0}, {0.02}};
  }

  /** Guards against a start that waits for a silent discovery, or fails without discovery. */
  @Test(dataProvider = "handshakeCosts")
  public void becomesReadyWhileDiscoveryIsSilent(double handshakeCost) throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    deployment.close();
    deployment = new Deployment();
    ((ObjectNode) deployment.config().path("settings"))
        .putObject("costs")
        .put("handshake", handshakeCost);
    deployment.discovery.withholdInitialList(never);
    long startedAt = System.nanoTime();
    deployment.startAndAwaitReady();
    assertTrue(System.nanoTime() - startedAt < TimeUnit.SECONDS.toNanos(10));
    assertEquals(deployment.sendQuery("slot-search", "known", 0, 1).status(), 200);
  }

  /** Guards against concurrent starts that wait for discovery or for each other's CPU time. */
  @Test
  public void concurrentStartsBecomeReadyWhileDiscoveryIsSilent() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    List<Deployment> deployments = new ArrayList<>();
    try {
      for (int i = 0; i < 5; i++) {
        Deployment started = new Deployment();
        deployments.add(started);
        started.discovery.withholdInitialList(never);
      }
      long startedAt = System.nanoTime();
      for (Deployment started : deployments) {
        started.start();
      }
      deployments.forEach(Deployment::awaitReady);
      assertTrue(System.nanoTime() - startedAt < TimeUnit.SECONDS.toNanos(10));
    } finally {
      for (Deployment started : deployments) {
        started.close();
      }
    }
  }

  /** Guards against sends to a server that is missing from a complete list. */
  @Test
  public void sendsNothingToServerMissingFromCompleteList() throws Exception {
    FakeSlotServer missing = deployment.servers.get(2); // in the preferred zone
    deployment.discovery.announceCompleteList(
        deployment.servers.stream().filter(server -> server != missing).toList());
    Deployment.await(
        "the list to take effect",
        () -> {
          int requestsBefore = missing.requests.size();
          return queryStatus("w", 1, 2) == 200 && missing.requests.size() == requestsBefore;
        });
    int requestsBefore = missing.requests.size();
    for (int i = 0; i < 10; i++) {
      assertEquals(deployment.sendQuery("slot-search", "x" + i, 1, 2).status(), 200);
    }
    assertEquals(missing.requests.size(), requestsBefore);
  }

  private long processStatusKb(String field) throws IOException {
    try (var lines =
        Files.lines(Path.of("/proc", String.valueOf(deployment.process.pid()), "status"))) {
      return lines
          .filter(line -> line.startsWith(field))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElseThrow();
    }
  }

  private int openDescriptors() {
    return new File("/proc/" + deployment.process.pid() + "/fd").list().length;
  }

  /**
   * The flood has connections that send nothing, requests without the end of their body, and long
   * input without the end of its head. Every fifth connection is closed or reset.
   */
  @Test
  public void servesValidClientsDuringFlood() throws Exception {
    List<Socket> floodSockets = new ArrayList<>();
    for (int i = 0; i < 150; i++) {
      Socket socket = TestClient.connect(deployment.listenAddress);
      floodSockets.add(socket);
      String unfinishedRequest =
          "POST /slot-search HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(50_000);
      if (i % 3 != 0) {
        TestClient.send(socket, i % 3 == 1 ? unfinishedRequest : "x".repeat(50_000));
      }
      if (i % 5 == 0) {
        socket.setSoLinger(i % 2 == 0, 0);
        socket.close();
      }
    }
    for (int i = 0; i < 30; i++) {
      assertEquals(deployment.sendQuery("slot-search", "sound" + i, i % 6).status(), 200);
    }
    assertTrue(
        processStatusKb("VmHWM") < 192 * 1024, "peak memory: " + processStatusKb("VmHWM") + " kB");
    assertTrue(openDescriptors() < 1024, "descriptors: " + openDescriptors());
    assertEquals(countErrorsAndOrderlyCloses(floodSockets), 120, "each gets its error");
  }

  private static int countErrorsAndOrderlyCloses(List<Socket> floodSockets) throws IOException {
    int count = 0;
    for (Socket socket : floodSockets) {
      if (!socket.isClosed()) {
        try {
          String line = FakeSlotServer.readHead(socket.getInputStream())[0];
          count += line.matches("HTTP/1.1 (400|408|413|431|503) .*") ? 1 : 0;
        } catch (EOFException e) {
          // An orderly close is enough for a client that sent nothing.
          count += floodSockets.indexOf(socket) % 3 == 0 ? 1 : 0;
        }
        socket.close();
      }
    }
    return count;
  }
}
