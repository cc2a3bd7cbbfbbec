package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.emulator.Fleet;
import bitternpulley.emulator.SlotServer;
import bitternpulley.faultinjection.Node;
import bitternpulley.faultinjection.Ports;
import bitternpulley.net.EventLoop;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A process that is paused for a while, as by a garbage collection, and resumed. */
public class PausedProcessTest {
  private static final int CELLS = 6;
  private static final int MAX_PENDING = 200;
  private static final int SHARD = 2;
  private static final int WARMUP_QUERIES = 30;
  private static final long PAUSE_MS = 700;

  /** Enough time to read what arrived during a pause, but much less than another pause. */
  private static final long AFTER_PAUSE_MS = 200;

  private Fleet fleet;
  private Node node;
  private int lastId;

  @BeforeMethod
  public void start() throws Exception {
    fleet = new Fleet(new EventLoop(), CELLS, 2);
    String listen = "127.0.0.1:" + Ports.reservePort();
    node = new Node("n0", fleet.configuration(0, 1, listen, MAX_PENDING), null).start();
    node.awaitReady();
    for (int i = 0; i < WARMUP_QUERIES; i++) {
      statusOf(send(1.4, i % CELLS));
    }
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    node.close();
    assertEquals(fleet.ruleCheck().firstViolations(), List.of());
  }

  private Socket send(double timeoutSeconds, int shard) throws IOException {
    Socket socket = TestClient.connect(node.queryAddress().toString());
    String query =
        TestClient.queryRequest("slot-search", "paused-" + lastId++, timeoutSeconds, shard);
    TestClient.send(socket, query);
    return socket;
  }

  private static int statusOf(Socket client) throws IOException {
    try (Socket socket = client) {
      return TestClient.readReply(socket).status();
    }
  }

  private static List<Integer> statusesOf(List<Socket> clients) throws IOException {
    List<Integer> statuses = new ArrayList<>();
    for (Socket client : clients) {
      statuses.add(statusOf(client));
    }
    return statuses;
  }

  /** Sends queries at short intervals, some time after the process has resumed. */
  private List<Socket> sendAfterPause() throws Exception {
    TimeUnit.MILLISECONDS.sleep(AFTER_PAUSE_MS);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      clients.add(send(1.4, SHARD));
      TimeUnit.MILLISECONDS.sleep(5);
    }
    return clients;
  }

  /** Regression: after a pause, queries were rejected as too late for the length of the pause. */
  @Test
  public void servesQueriesSentAfterPause() throws Exception {
    for (int round = 0; round < 3; round++) {
      node.pause();
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
      node.resume();
      assertEquals(statusesOf(sendAfterPause()), Collections.nCopies(20, 200), "round " + round);
    }
  }

  /** Regression: the time of a pause counted as latency and as silence of the servers. */
  @Test
  public void keepsUsingServersThatAnsweredDuringPause() throws Exception {
    List<SlotServer> replicas = fleet.servers().subList(SHARD, SHARD + 2);
    for (int round = 0; round < 4; round++) {
      replicas.forEach(server -> server.setSlowdown(5));
      List<Socket> inFlight = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        inFlight.add(send(1.4, SHARD));
      }
      TimeUnit.MILLISECONDS.sleep(20);
      node.pause();
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
      replicas.forEach(server -> server.setSlowdown(1));
      node.resume();
      assertEquals(statusesOf(sendAfterPause()), Collections.nCopies(20, 200), "round " + round);
      statusesOf(inFlight);
    }
  }

  /** Regression: a pause soon after a longer one counted from the start of the first. */
  @Test
  public void measuresSecondPauseFromItsOwnStart() throws Exception {
    node.pause();
    TimeUnit.MILLISECONDS.sleep(450);
    node.resume();
    TimeUnit.MILLISECONDS.sleep(100);
    node.pause();
    Socket client = send(1.4, SHARD);
    TimeUnit.MILLISECONDS.sleep(150);
    node.resume();
    assertEquals(statusOf(client), 200);
  }

  /**
   * The connections wait in the backlog, and the servers do not answer. If the time of the pause
   * did not count as time that the queries had waited unread, their answers would be late by the
   * length of the pause.
   */
  @Test
  public void answersConnectionsMadeDuringPauseInTime() throws Exception {
    double timeoutMs = 1300;
    fleet.servers().forEach(server -> server.setUnresponsive(true));
    node.pause();
    double sentAt = System.nanoTime() / 1e6;
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      clients.add(send(timeoutMs / 1000, i % CELLS));
    }
    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    node.resume();
    statusesOf(clients);
    double elapsed = System.nanoTime() / 1e6 - sentAt;
    assertTrue(elapsed <= timeoutMs + PAUSE_MS / 2.0, elapsed + " ms");
  }
}
