package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against clients that fill the heap of the program without a request in progress, so that
 * queries of other clients are never answered.
 */
public class ClientMemoryProcessTest extends ProcessTest {
  private static final int CONCURRENT_CONNECTS = 30;

  private final List<Socket> holders = new ArrayList<>();

  @AfterMethod(alwaysRun = true)
  public void closeHolders() throws IOException {
    for (Socket holder : holders) {
      holder.close();
    }
    holders.clear();
  }

  private static String shortHeaders(int bytes) {
    StringBuilder headers = new StringBuilder();
    for (int number = 0; headers.length() < bytes; number++) {
      headers.append('x').append(Integer.toString(number, 36)).append(": 1\r\n");
    }
    return headers.toString();
  }

  @DataProvider
  public Object[][] requestForms() {
    String query = "POST /slot-search HTTP/1.1\r\n";
    String chunkedQuery = query + "Transfer-Encoding: chunked\r\n\r\n";
    return new Object[][] {
      {"half a head of short headers", 150, query + shortHeaders(8_000)},
      {"head of short headers", 300, query + shortHeaders(16_000)},
      {"more heads of short headers", 600, query + shortHeaders(16_000)},
      {"head of one header", 600, query + "x: " + "y".repeat(16_000)},
      {"start line", 600, "POST /" + "x".repeat(16_000)},
      {
        "body behind a head of short headers",
        300,
        query + "Content-Length: 1000\r\n" + shortHeaders(15_900) + "\r\n" + "x".repeat(500)
      },
      {"large body", 400, query + "Content-Length: 65000\r\n\r\n" + "x".repeat(64_000)},
      {"trailers", 600, chunkedQuery + "1\r\nx\r\n0\r\n" + "x".repeat(16_000)},
      {
        "idle after a request with short headers",
        300,
        "GET /-/healthy HTTP/1.1\r\n" + shortHeaders(16_000) + "\r\n"
      },
    };
  }

  /** The clients send at once, stay and read; most of them are beyond the memory for clients. */
  @Test(dataProvider = "requestForms")
  public void answersQueriesWhileOthersHoldMemory(String form, int clients, String text)
      throws Exception {
    connectHolders(clients, number -> text);
    for (int status : SoundQueries.statuses(deployment)) {
      assertEquals(status, 200, form);
    }
    assertTrue(deployment.process.isAlive(), form);
  }

  /**
   * Each client sends far more than one request ahead while its query is in progress. Their queries
   * use capacity, so that others may be rejected, which is a final answer.
   */
  @Test
  public void answersQueriesWhileOthersSendRequestsAhead() throws Exception {
    setShardBehavior(0, FakeSlotServer.Behavior.SILENT);
    String ahead = "GET /-/healthy HTTP/1.1\r\n\r\n".repeat(9_000);
    connectHolders(
        40, number -> TestClient.queryRequest("slot-search", "ahead" + number, 3, 0) + ahead);
    for (int status : SoundQueries.statuses(deployment)) {
      assertTrue(status == 200 || status == 429, "status " + status);
    }
    assertTrue(deployment.process.isAlive());
  }

  private void connectHolders(int clients, IntFunction<String> text) throws InterruptedException {
    ExecutorService executor = Executors.newFixedThreadPool(CONCURRENT_CONNECTS);
    for (int client = 0; client < clients; client++) {
      int number = client;
      executor.execute(() -> connectHolder(text.apply(number)));
    }
    executor.shutdown();
    assertTrue(executor.awaitTermination(30, TimeUnit.SECONDS));
  }

  private void connectHolder(String text) {
    try {
      Socket socket = TestClient.connect(deployment.listenAddress);
      synchronized (holders) {
        holders.add(socket);
      }
      TestClient.send(socket, text);
      FakeSlotServer.runInDaemonThread(() -> readToEnd(socket));
    } catch (IOException rejected) {
      // The program may reject the client while it is still sending.
    }
  }

  private static void readToEnd(Socket socket) {
    try (socket) {
      socket.setSoTimeout(0);
      socket.getInputStream().readAllBytes();
    } catch (IOException closed) {
      // The test closes the remaining sockets at its end.
    }
  }
}
