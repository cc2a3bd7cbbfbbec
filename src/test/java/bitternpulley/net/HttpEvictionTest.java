package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests a server near its maximum of connections whose clients stop in the middle of a request. */
public class HttpEvictionTest extends HttpServerHarness {
  private static final int MAX_CONNECTIONS = 80;

  /** Fewer than the connections from which on others are evicted. */
  private static final int STALLED_CLIENTS = 69;

  private static final String HALF_A_HEAD = "POST /half HTTP/1.1\r\nHost: a\r\n";
  private static final HttpServer.Timeouts LONG_TIMEOUTS =
      new HttpServer.Timeouts(60_000, 60_000, 60_000);

  private final List<Socket> stalled = new ArrayList<>();
  private final AtomicInteger failuresLeft = new AtomicInteger();

  @AfterMethod(alwaysRun = true)
  public void closeClients() throws IOException {
    for (Socket socket : stalled) {
      socket.close();
    }
    stalled.clear();
    failuresLeft.set(0);
  }

  @Override
  public HttpServer.Response errorResponse(int status, String reason) {
    if (status == 408 && failuresLeft.getAndDecrement() > 0) {
      throw new StackOverflowError("requested by the test");
    }
    return super.errorResponse(status, reason);
  }

  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    if (request.head().target().equals("/error")) {
      throw new StackOverflowError("requested by the test");
    }
    super.handle(request, exchange);
  }

  private void connectStalledClients() throws Exception {
    for (int client = 0; client < STALLED_CLIENTS; client++) {
      stalled.add(connect(HALF_A_HEAD));
    }
    TimeUnit.MILLISECONDS.sleep(300); // longer than a new request is safe from eviction
  }

  private int countEnded() throws IOException {
    int count = 0;
    for (Socket socket : stalled) {
      count += socket.getInputStream().available() > 0 ? 1 : 0;
    }
    return count;
  }

  /** Making room for one connection once ended every incomplete request, each nested in another. */
  @Test
  public void evictsOneIncompleteRequestForOneConnection() throws Exception {
    listen(MAX_CONNECTIONS, LONG_TIMEOUTS);
    connectStalledClients();
    assertEquals(countEnded(), 0);
    int newClients = 4;
    for (int client = 0; client < newClients; client++) {
      try (Socket sound = connect(request("/sound", ""))) {
        assertEquals(readStatus(sound), 200);
      }
    }
    TimeUnit.MILLISECONDS.sleep(300);
    int evicted = countEnded();
    assertTrue(evicted > 0, "none was evicted");
    assertTrue(evicted <= newClients + 1, "evicted for " + newClients + " clients: " + evicted);
  }

  /** An error while a time-out is applied must not keep the others from being applied. */
  @Test
  public void appliesTimeoutsAfterAnErrorInOneOfThem() throws Exception {
    listen(MAX_CONNECTIONS, new HttpServer.Timeouts(60_000, 200, 60_000));
    failuresLeft.set(1);
    try (Socket first = connect(HALF_A_HEAD);
        Socket second = connect(HALF_A_HEAD)) {
      int ended = first.getInputStream().read() + second.getInputStream().read();
      assertEquals(ended, 'H' - 1, "one is closed and one gets its error");
    }
    try (Socket later = connect(HALF_A_HEAD)) {
      assertEquals(readStatus(later), 408);
    }
  }

  @Test
  public void answersRequestWhoseHandlerFailsWithAnError() throws Exception {
    try (Socket client = connect(request("/error", ""))) {
      assertEquals(readStatus(client), 500);
    }
    try (Socket client = connect(request("/sound", ""))) {
      assertEquals(readStatus(client), 200);
    }
  }
}
