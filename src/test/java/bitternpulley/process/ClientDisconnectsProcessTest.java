package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.FakeSlotServer.Behavior;
import bitternpulley.process.TestClient.Reply;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that are sent on after their client has closed its connection, and
 * against ids that run twice when they come again.
 */
public class ClientDisconnectsProcessTest extends ProcessTest {
  /** Time after the end of a connection from which on nothing is sent for its client. */
  private static final long NOTHING_SENT_AFTER_MS = 100;

  /** Tolerance that the protocol adds to each time limit. */
  private static final long TOLERANCE_MS = 50;

  private static final int CLIENTS = 24;
  private static final int LOAD_CLIENTS = 8;
  private static final int MANY_CLIENTS = 80;
  private static final int MANY_LOAD_CLIENTS = 40;
  private static final int SETTLE_MS = 1500;

  private volatile boolean ended;

  private record Closed(long nanos) {}

  /** When each client closed its connection, by the prefix of its ids. */
  private final Map<String, Closed> closedClients = new ConcurrentHashMap<>();

  @DataProvider
  public Object[][] requestsAhead() {
    return new Object[][] {
      {"hundreds of queries", 500, 0, false},
      {"thousands of queries, beyond what is kept", 4_000, 0, false},
      {"hundreds of queries, connection reset", 500, 0, true},
      {"large bodies", 40, 30_000, false},
    };
  }

  /** Other clients keep the program busy meanwhile. */
  @Test(dataProvider = "requestsAhead")
  public void sendsNothingOnAfterTheClose(String form, int ahead, int paddingBytes, boolean reset)
      throws Exception {
    closeAndCheck(form, LOAD_CLIENTS, CLIENTS, new Ahead(ahead, paddingBytes, reset));
  }

  @DataProvider
  public Object[][] manyBytesAhead() {
    return new Object[][] {{"thousands of queries", 4_000, 0}, {"large bodies", 40, 30_000}};
  }

  /** Dozens of clients leave the program much to read before it comes to their closes. */
  @Test(dataProvider = "manyBytesAhead")
  public void sendsNothingOnAfterTheCloseOfManyClients(String form, int ahead, int paddingBytes)
      throws Exception {
    closeAndCheck(form, MANY_LOAD_CLIENTS, MANY_CLIENTS, new Ahead(ahead, paddingBytes, false));
  }

  /** What a client sends before it closes or resets its connection. */
  private record Ahead(int queries, int paddingBytes, boolean reset) {}

  private void closeAndCheck(String form, int loadClients, int clients, Ahead ahead)
      throws Exception {
    ended = false;
    closedClients.clear();
    List<Thread> load = new ArrayList<>();
    for (int client = 0; client < loadClients; client++) {
      load.add(start(this::sendUntilEnded));
    }
    List<Thread> closers = new ArrayList<>();
    for (int client = 0; client < clients; client++) {
      String prefix = "ahead" + client + "x";
      closers.add(start(() -> sendAheadAndClose(prefix, ahead)));
    }
    for (Thread thread : closers) {
      thread.join();
    }
    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    ended = true;
    for (Thread thread : load) {
      thread.join();
    }
    assertTrue(deployment.process.isAlive(), form);
    List<Long> late = msAfterClose().stream().filter(ms -> ms > 0).sorted().toList();
    long begunLate = late.stream().filter(ms -> ms > NOTHING_SENT_AFTER_MS + TOLERANCE_MS).count();
    System.out.println(
        form
            + ": attempts begun after the close "
            + late.size()
            + ", more than 100 ms after it "
            + late.stream().filter(ms -> ms > NOTHING_SENT_AFTER_MS).count()
            + ", last after "
            + (late.isEmpty() ? 0 : late.get(late.size() - 1))
            + " ms");
    assertEquals(begunLate, 0, form + ": " + late);
  }

  private List<Long> msAfterClose() {
    List<Long> times = new ArrayList<>();
    for (AttemptLog.Attempt attempt : deployment.attemptLog.all()) {
      int end = attempt.part.indexOf('x');
      Closed closed = end < 0 ? null : closedClients.get(attempt.part.substring(0, end + 1));
      if (closed != null) {
        times.add(TimeUnit.NANOSECONDS.toMillis(attempt.startedAtNanos - closed.nanos()));
      }
    }
    return times;
  }

  private void sendAheadAndClose(String prefix, Ahead ahead)
      throws IOException, InterruptedException {
    StringBuilder requests = new StringBuilder();
    for (int number = 0; number < ahead.queries(); number++) {
      requests.append(
          TestClient.queryRequest("slot-search", prefix + number, 4, number % 6)
              .replace("c41e77d0", "c41e77d0" + "0".repeat(ahead.paddingBytes())));
    }
    String text = requests.toString();
    if (ahead.paddingBytes() > 0) {
      text = text.replaceAll("Content-Length: [0-9]+", "Content-Length: " + bodyLength(text));
    }
    Socket socket = TestClient.connect(deployment.listenAddress);
    socket.setSoLinger(ahead.reset(), 0);
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    Thread writer =
        start(
            () -> {
              socket.getOutputStream().write(bytes);
            });
    TimeUnit.MILLISECONDS.sleep(300 + prefix.hashCode() % 50);
    socket.close();
    closedClients.put(prefix, new Closed(System.nanoTime()));
    writer.join();
  }

  private static int bodyLength(String text) {
    int start = text.indexOf("\r\n\r\n") + 4;
    return text.indexOf("POST", start) - start;
  }

  private void sendUntilEnded() throws IOException {
    while (!ended) {
      try (Socket socket = TestClient.connect(deployment.listenAddress)) {
        for (int query = 0; query < 50 && !ended; query++) {
          String id = "load" + System.nanoTime();
          TestClient.send(socket, TestClient.queryRequest("slot-search", id, 4, 0, 1, 2, 3, 4, 5));
          if ("close".equals(TestClient.readReply(socket).headers().get("connection"))) {
            break;
          }
        }
      }
    }
  }

  @DataProvider
  public Object[][] effects() {
    return new Object[][] {
      {"side_effect", true},
      {"side_effect", false},
      {"token", true},
      {"pure", true},
      {"pure", false}
    };
  }

  @DataProvider
  public Object[][] effectsWithCancellation() {
    return new Object[][] {{"side_effect"}, {"token"}, {"pure"}};
  }

  /** An id comes again while its first run is at the servers, its client having left. */
  @Test(dataProvider = "effects")
  public void startsNoSecondRunOfAnIdWhoseClientLeft(String effect, boolean mayCancel)
      throws Exception {
    restartWithEffect(effect, mayCancel, false);
    setAllServers(Behavior.SILENT);
    int attempts = attemptsOfSecondRun("again", () -> {});
    System.out.println(
        "id again, "
            + effect
            + ", cancelling "
            + mayCancel
            + ": attempts of a second run "
            + attempts);
    assertEquals(attempts, 0, effect);
  }

  /** An id of a class that must not run twice comes again after it was answered. */
  @Test
  public void startsNoSecondRunOfAnAnsweredId() throws Exception {
    restartWithEffect("side_effect", true, false);
    assertEquals(deployment.sendQuery("slot-booking", "over", 1).status(), 200);
    Reply second = deployment.sendQuery("slot-booking", "over", 1);
    assertEquals(second.status(), 409, second.body());
    assertEquals(begunAttempts("over"), 1);
  }

  /** The id comes again at the process that takes over, while the first one is still at work. */
  @Test(dataProvider = "effectsWithCancellation")
  public void startsNoSecondRunAtTheOtherProcess(String effect) throws Exception {
    restartWithEffect(effect, true, true);
    ProcessHandle first = deployment.startOnHeldSocket();
    setAllServers(Behavior.SILENT);
    int attempts =
        attemptsOfSecondRun(
            "other",
            () -> {
              deployment.startOnHeldSocket();
              first.destroy();
              TimeUnit.MILLISECONDS.sleep(100);
            });
    System.out.println("other process, " + effect + ": attempts of a second run " + attempts);
    assertEquals(attempts, 0, effect);
  }

  private interface Step {
    void run() throws Exception;
  }

  /**
   * Sends a query, leaves, and sends it again; returns the number of attempts that have begun
   * since. The first run may have had several attempts until then.
   */
  private int attemptsOfSecondRun(String id, Step between) throws Exception {
    String request = TestClient.queryRequest("slot-booking", id, 4, 1);
    Socket client = TestClient.connect(deployment.listenAddress);
    TestClient.send(client, request);
    Deployment.await("the first run", () -> begunAttempts(id) >= 1);
    between.run();
    client.close();
    TimeUnit.MILLISECONDS.sleep(NOTHING_SENT_AFTER_MS);
    int before = begunAttempts(id);
    try (Socket again = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(again, request);
      TimeUnit.MILLISECONDS.sleep(400);
    }
    return begunAttempts(id) - before;
  }

  private int begunAttempts(String id) {
    return (int)
        deployment.attemptLog.all().stream()
            .filter(attempt -> attempt.part.startsWith(id + "."))
            .count();
  }

  private void restartWithEffect(String effect, boolean mayCancel, boolean holdSocket)
      throws IOException {
    deployment.close();
    deployment = new Deployment();
    ObjectNode settings = (ObjectNode) deployment.config().path("settings");
    ((ObjectNode) settings.path("requestClasses").path(1)).put("effect", effect);
    ((ObjectNode) settings.path("policyLimits")).put("mayCancel", mayCancel);
    if (holdSocket) {
      deployment.holdListenSocket();
    } else {
      deployment.startAndAwaitReady();
    }
  }

  private static Thread start(Step task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException closed) {
                // The connection has ended.
              } catch (Exception failure) {
                throw new IllegalStateException(failure);
              }
            });
    thread.start();
    return thread;
  }
}
