package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against clients that stop in the middle of a request and fill the descriptors: queries of
 * other clients were never answered, and no time-out was applied any more.
 */
public class StalledClientsProcessTest extends ProcessTest {
  private static final int MAX_STALLED = 1000;
  private static final int BURST = 250;
  private static final int BURST_INTERVAL_MS = 50;
  private static final int QUERIES = 20;
  private static final int QUERY_INTERVAL_MS = 300;

  /** A request has to get its final answer at the latest half a second after its time. */
  private static final int FINAL_ANSWER_MS = 3500;

  /** A client that stops in the middle of a request gets its error or a close within this time. */
  private static final int ENDED_WITHIN_MS = 3000;

  private static final String HALF_A_HEAD = "POST /slot-search HTTP/1.1\r\nHost: b\r\n";

  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Semaphore places = new Semaphore(MAX_STALLED);
  private volatile boolean stopped;

  @AfterMethod(alwaysRun = true)
  public void closeClients() throws IOException {
    stopped = true;
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
  }

  private void connectStalledClients() {
    FakeSlotServer.runInDaemonThread(
        () -> {
          while (!stopped) {
            for (int client = 0; client < BURST && places.tryAcquire(); client++) {
              Thread thread = new Thread(null, this::stall, "stalled client", 64 * 1024);
              thread.setDaemon(true);
              thread.start();
            }
            sleep(BURST_INTERVAL_MS);
          }
        });
  }

  private static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void stall() {
    try (Socket socket = TestClient.connect(deployment.listenAddress)) {
      sockets.add(socket);
      TestClient.send(socket, HALF_A_HEAD);
      int unused = socket.getInputStream().readAllBytes().length;
    } catch (IOException closed) {
      // Another client takes its place.
    } finally {
      places.release();
    }
  }

  /** Returns the queries, of some, that got no final answer although they were accepted. */
  private List<String> unansweredQueries(String idPrefix, int count) throws Exception {
    List<String> unanswered = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      String id = idPrefix + number;
      int shard = number % Deployment.CELLS;
      Thread client = new Thread(() -> query(id, shard, unanswered));
      client.start();
      clients.add(client);
      sleep(QUERY_INTERVAL_MS);
    }
    for (Thread client : clients) {
      client.join();
    }
    return unanswered;
  }

  private void query(String id, int shard, List<String> unanswered) {
    long startedAt = System.nanoTime();
    try (Socket socket = TestClient.connect(deployment.listenAddress)) {
      socket.setSoTimeout(FINAL_ANSWER_MS);
      TestClient.send(socket, TestClient.queryRequest("slot-search", id, 3, shard));
      TestClient.readReply(socket);
      if (System.nanoTime() - startedAt > TimeUnit.MILLISECONDS.toNanos(FINAL_ANSWER_MS)) {
        throw new SocketTimeoutException("answered too late");
      }
    } catch (SocketTimeoutException silence) {
      synchronized (unanswered) {
        unanswered.add(id);
      }
    } catch (IOException shut) {
      // New connections may be shut unread while clients fill the descriptors.
    }
  }

  @DataProvider
  public Object[][] descriptorLimits() {
    return new Object[][] {{1024}, {256}};
  }

  /** With few descriptors, most of the clients wait to be accepted, and the queries among them. */
  @Test(dataProvider = "descriptorLimits")
  public void answersQueriesAndEndsStalledClientsThatFillTheDescriptors(int descriptors)
      throws Exception {
    deployment.close();
    deployment = new Deployment();
    ((ObjectNode) deployment.config().path("limits")).put("sockets", descriptors);
    deployment.startAndAwaitReady();
    stopped = false;
    connectStalledClients();
    assertEquals(unansweredQueries("beside", QUERIES), List.of());
    closeClients();
    assertEquals(unansweredQueries("after", 3), List.of());
    assertTrue(deployment.process.isAlive());
    assertTrue(isStalledClientEnded(), "the time-outs are still applied");
    assertEquals(
        deployment.output.stream().filter(line -> line.contains("Error")).limit(3).toList(),
        List.of());
  }

  private boolean isStalledClientEnded() throws IOException {
    try (Socket socket = TestClient.connect(deployment.listenAddress)) {
      socket.setSoTimeout(ENDED_WITHIN_MS);
      TestClient.send(socket, HALF_A_HEAD);
      socket.getInputStream().readAllBytes();
      return true;
    } catch (SocketTimeoutException silence) {
      return false;
    }
  }
}
