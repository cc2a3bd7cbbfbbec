package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests which clients are rejected when all of them together occupy too much memory. */
public class ClientMemoryBudgetTest extends HttpServerHarness {
  private static final int BUDGET_BYTES = 256 * 1024;
  private static final int LARGE_REQUESTS = 40;
  private static final int LARGE_RESPONSE_BYTES = 900_000;

  private ClientMemoryBudget budget;

  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    if (request.head().target().equals("/large")) {
      exchange.reply(errorResponse(200, "x".repeat(LARGE_RESPONSE_BYTES)));
    } else {
      super.handle(request, exchange);
    }
  }

  private void listenWithBudget(long maxBytes) throws IOException {
    loop = new EventLoop();
    budget = new ClientMemoryBudget(loop, "requests", maxBytes);
    ClientMemory memory = new ClientMemory(budget, budget);
    server = new HttpServer(loop, 64 * 1024, 1000, HttpServer.Timeouts.DEFAULT, memory, this);
    address = server.listen(new HostPort("127.0.0.1", 0));
  }

  private long totalBytes() {
    AtomicLong bytes = new AtomicLong();
    loop.runInTurn(() -> bytes.set(budget.totalBytes()));
    return bytes.get();
  }

  /** Clients that write a small request slowly are not rejected because of what others send. */
  @Test
  public void rejectsLargestIncompleteRequestsFirst() throws Exception {
    listenWithBudget(BUDGET_BYTES);
    List<Socket> others = new ArrayList<>();
    try (Socket small = connect("GET /small HTTP/1.1\r\nA: ")) {
      for (int client = 0; client < LARGE_REQUESTS; client++) {
        others.add(connect("GET /other HTTP/1.1\r\nA: " + "x".repeat(15_000)));
      }
      awaitCondition("rejections", () -> countResponded(others) > 0);
      write(small, "b\r\n\r\n");
      assertEquals(readStatus(small), 200);
      int rejected = 0;
      for (Socket socket : others) {
        rejected += readStatus(socket) == 503 ? 1 : 0; // the others time out with 408
      }
      assertTrue(rejected >= LARGE_REQUESTS - BUDGET_BYTES / 15_000, "rejected: " + rejected);
      assertTrue(rejected < LARGE_REQUESTS, "no more are rejected than necessary");
    } finally {
      for (Socket socket : others) {
        socket.close();
      }
    }
  }

  private static int countResponded(List<Socket> sockets) {
    int count = 0;
    for (Socket socket : sockets) {
      try {
        count += socket.getInputStream().available() > 0 ? 1 : 0;
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
    }
    return count;
  }

  /** Responses that clients do not read occupy memory as well. */
  @Test
  public void boundsResponsesThatAreNotRead() throws Exception {
    listenWithBudget(2 * LARGE_RESPONSE_BYTES);
    List<Socket> clients = new ArrayList<>();
    try {
      for (int client = 0; client < 8; client++) {
        clients.add(connect("GET /large HTTP/1.1\r\n\r\n".repeat(12)));
      }
      awaitCondition("unread responses", () -> totalBytes() > LARGE_RESPONSE_BYTES / 2);
      try (Socket socket = connect("GET /small HTTP/1.1\r\n\r\n")) {
        assertEquals(readStatus(socket), 200);
      }
      assertTrue(totalBytes() <= 2 * LARGE_RESPONSE_BYTES, "occupied: " + totalBytes());
    } finally {
      for (Socket socket : clients) {
        socket.close();
      }
    }
  }

  @Test
  public void holdsNothingOnceRequestsAreAnswered() throws Exception {
    listenWithBudget(BUDGET_BYTES);
    try (Socket socket = connect("POST /small HTTP/1.1\r\nContent-Length: 3\r\n\r\nx")) {
      awaitCondition("an incomplete request", () -> totalBytes() > 0);
      write(socket, "yz");
      assertEquals(readStatus(socket), 200);
      awaitCondition("memory to be released", () -> totalBytes() == 0);
    }
  }
}
