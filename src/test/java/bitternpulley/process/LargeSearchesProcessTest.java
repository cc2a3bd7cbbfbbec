package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.TestClient.Reply;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against searches whose answers fill the heap, so that the process ends and neither they
 * nor the queries of other clients are answered.
 */
public class LargeSearchesProcessTest extends ProcessTest {
  private static final String TARGET = "/slots,clinics/_search";
  private static final int SEARCHES_PER_CLIENT = 3;

  /** Pause of a client that was rejected. */
  private static final int RETRY_AFTER_MS = 200;

  private final Queue<Integer> statuses = new ConcurrentLinkedQueue<>();
  private final Queue<Exception> failures = new ConcurrentLinkedQueue<>();

  private interface ClientTask {
    void run() throws Exception;
  }

  @DataProvider
  public Object[][] searchForms() {
    return new Object[][] {
      {"one search of short hits", 1, 2_000, 40, TARGET, body(0, 10_000)},
      {"half as many short hits", 4, 500, 40, TARGET, body(0, 500)},
      {"short hits", 8, 1_000, 40, TARGET, body(0, 1_000)},
      {"many clients", 24, 1_000, 40, TARGET, body(0, 1_000)},
      {"far from the first hit", 6, 1_500, 40, TARGET, body(9_000, 1_000)},
      {"large documents", 8, 60, 3_000, TARGET, body(0, 200)},
      {"one large document a part", 16, 1, 150_000, TARGET, body(0, 10)},
      {"multi-search", 3, 500, 200, "/slots,clinics/_msearch", multiBody(8)},
    };
  }

  private static String body(int from, int size) {
    return "{\"query\":{\"match_all\":{}},\"from\":" + from + ",\"size\":" + size + "}";
  }

  private static String multiBody(int searches) {
    return ("{}\n" + body(0, 500) + "\n").repeat(searches);
  }

  private void setDocuments(int perShard, int bytes) {
    deployment.servers.forEach(
        server -> {
          server.documentsPerShard = perShard;
          server.documentBytes = bytes;
        });
  }

  /** Each search gets an answer or a rejection, several are served, and queries are answered. */
  @Test(dataProvider = "searchForms")
  public void answersAllWhileSearchesAreLarge(
      String form, int clients, int documents, int documentBytes, String target, String body)
      throws Exception {
    setDocuments(documents, documentBytes);
    List<Thread> searchers = startClients(clients, () -> search(target, body));
    List<Integer> queries = SoundQueries.statuses(deployment);
    join(searchers);
    assertEquals(List.copyOf(failures), List.of(), form);
    assertTrue(deployment.process.isAlive(), form);
    assertTrue(queries.stream().allMatch(status -> status == 200 || status == 429), "" + queries);
    assertTrue(statuses.stream().allMatch(status -> status == 200 || status == 429), form);
    assertEquals(statuses.size(), clients * SEARCHES_PER_CLIENT, form);
    long answered = statuses.stream().filter(status -> status == 200).count();
    assertTrue(answered >= statuses.size() / 4.0, form + ": " + statuses);
    assertEquals(deployment.sendSearch(TARGET, body(0, 5)).status(), 200, form);
  }

  /** The search that takes most is rejected with the error that the API has for it. */
  @Test
  public void rejectsSearchThatNeedsMoreThanTheBudget() throws Exception {
    setDocuments(1_000, 150);
    List<Thread> searchers = startClients(40, () -> search(TARGET, body(0, 10_000)));
    join(searchers);
    assertEquals(List.copyOf(failures), List.of());
    assertTrue(statuses.contains(429), "" + statuses);
    assertTrue(statuses.contains(200), "" + statuses);
    assertTrue(deployment.process.isAlive());
  }

  /** Clients that leave while their search is answered leave nothing behind. */
  @Test
  public void keepsNothingForSearchersThatLeave() throws Exception {
    setDocuments(1_000, 100);
    List<Thread> searchers = startClients(12, this::searchAndLeave);
    List<Integer> queries = SoundQueries.statuses(deployment);
    join(searchers);
    assertTrue(queries.stream().allMatch(status -> status == 200 || status == 429), "" + queries);
    assertTrue(deployment.process.isAlive());
    assertEquals(deployment.sendSearch(TARGET, body(0, 1_000)).status(), 200);
  }

  /** Clients that do not read their answers do not keep others from being answered. */
  @Test
  public void answersOthersWhileSearchersDoNotRead() throws Exception {
    setDocuments(1_000, 150);
    List<Thread> searchers = startClients(30, this::searchWithoutReading);
    List<Integer> queries = SoundQueries.statuses(deployment);
    assertTrue(queries.stream().allMatch(status -> status == 200 || status == 429), "" + queries);
    assertTrue(deployment.process.isAlive());
    join(searchers);
    assertEquals(deployment.sendSearch(TARGET, body(0, 100)).status(), 200);
  }

  /** Bodies of many small values are kept while the servers do not answer. */
  @Test
  public void answersOthersWhileLargeBodiesArePending() throws Exception {
    setShardBehavior(0, FakeSlotServer.Behavior.SILENT);
    String nested = "{\"query\":{\"terms\":[" + "{},".repeat(20_000) + "{}]}}";
    List<Thread> searchers =
        startClients(60, () -> search("/slots/_search?preference=_shards:0", nested));
    List<Integer> queries = SoundQueries.statuses(deployment);
    assertTrue(queries.stream().allMatch(status -> status == 200 || status == 429), "" + queries);
    join(searchers);
    assertEquals(List.copyOf(failures), List.of());
    assertTrue(deployment.process.isAlive());
  }

  private void search(String target, String body) throws Exception {
    for (int number = 0; number < SEARCHES_PER_CLIENT; number++) {
      Reply reply = deployment.sendSearch(target, body);
      statuses.add(reply.status());
      if (reply.status() == 429) {
        assertTrue(reply.body().contains("_exception"), reply.body());
        TimeUnit.MILLISECONDS.sleep(RETRY_AFTER_MS);
      }
    }
  }

  private void searchAndLeave() throws Exception {
    for (int number = 0; number < 10; number++) {
      try (Socket socket = openSearch(body(0, 1_000))) {
        TimeUnit.MILLISECONDS.sleep(30 + 20 * number);
        socket.setSoLinger(true, 0);
      }
    }
  }

  private void searchWithoutReading() throws Exception {
    Socket socket = openSearch(body(0, 5_000));
    TimeUnit.SECONDS.sleep(4);
    socket.close();
  }

  private Socket openSearch(String body) throws IOException {
    Socket socket = TestClient.connect(deployment.searchListenAddress);
    socket.setReceiveBufferSize(4096);
    TestClient.send(
        socket,
        "POST " + TARGET + " HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    return socket;
  }

  private List<Thread> startClients(int count, ClientTask task) {
    statuses.clear();
    failures.clear();
    return IntStream.range(0, count).mapToObj(number -> start(task)).toList();
  }

  private Thread start(ClientTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception failure) {
                failures.add(failure);
              }
            });
    thread.start();
    return thread;
  }

  private static void join(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(TimeUnit.SECONDS.toMillis(60));
    }
  }
}
