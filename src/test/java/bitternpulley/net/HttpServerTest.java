package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the server directly, in cases that clients of the complete program cannot cause, such as a
 * handler that throws and very low limits.
 */
public class HttpServerTest implements HttpServer.Handler {
  private static final int TIMEOUT_MS = 30_000;
  private HostPort address;

  @BeforeMethod
  public void startServer() throws IOException {
    HttpServer server =
        new HttpServer(new EventLoop(), 100, 2, new HttpServer.Timeouts(10_000, 50, 10_000), this);
    address = server.listen(new HostPort("127.0.0.1", 0));
  }

  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    if (request.head().target().equals("/throw")) {
      throw new IllegalStateException("requested by the test");
    }
    exchange.reply(errorResponse(200, "fine"));
  }

  @Override
  public HttpServer.Response errorResponse(int status, String reason) {
    return new HttpServer.Response(status, Map.of(), reason.getBytes(StandardCharsets.UTF_8));
  }

  private Socket connect(String text) throws IOException {
    Socket socket = new Socket(address.host(), address.port());
    socket.setSoTimeout(TIMEOUT_MS);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static String readLine(Socket socket) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = socket.getInputStream().read();
        next >= 0 && next != '\r';
        next = socket.getInputStream().read()) {
      line.append((char) next);
    }
    return line.toString();
  }

  @Test
  public void answersRequestWhoseHandlerThrows() throws IOException {
    try (Socket socket = connect("GET /throw HTTP/1.1\r\n\r\n")) {
      assertEquals(readLine(socket), "HTTP/1.1 500 Internal Server Error");
    }
  }

  @Test
  public void rejectsRequestThatStaysIncomplete() throws IOException {
    try (Socket socket = connect("POST /half HTTP/1.1\r\nContent-Le")) {
      assertEquals(readLine(socket), "HTTP/1.1 408 Request Timeout");
    }
  }

  @Test
  public void closesConnectionThatStaysSilent() throws IOException {
    HttpServer server =
        new HttpServer(new EventLoop(), 100, 2, new HttpServer.Timeouts(50, 10_000, 10_000), this);
    address = server.listen(new HostPort("127.0.0.1", 0));
    try (Socket silent = connect("")) {
      assertEquals(silent.getInputStream().read(), -1);
    }
  }

  /** Many bodies together may exceed the available memory although each is within its limit. */
  @Test
  public void limitsIncompleteBodiesOfAllConnectionsTogether() throws IOException {
    int maxBodyBytes = 2 << 20;
    HttpServer server =
        new HttpServer(
            new EventLoop(),
            maxBodyBytes,
            3,
            new HttpServer.Timeouts(10_000, 10_000, 10_000),
            this);
    address = server.listen(new HostPort("127.0.0.1", 0));
    String incompleteRequest =
        "POST / HTTP/1.1\r\nContent-Length: "
            + maxBodyBytes
            + "\r\n\r\n"
            + "x".repeat(maxBodyBytes - 1000);
    try (Socket first = connect(incompleteRequest);
        Socket second = connect(incompleteRequest);
        Socket third = connect(incompleteRequest)) {
      List<Socket> remaining = new ArrayList<>(List.of(first, second, third));
      Socket rejected = null;
      while (rejected == null) {
        for (Socket socket : remaining) {
          rejected = socket.getInputStream().available() > 0 ? socket : rejected;
        }
      }
      assertEquals(readLine(rejected), "HTTP/1.1 503 Service Unavailable");
      remaining.remove(rejected);
      for (Socket socket : remaining) {
        socket.getOutputStream().write(new byte[1000]);
        assertEquals(readLine(socket), "HTTP/1.1 200 OK", "the others are served");
      }
    }
  }

  @Test
  public void evictsConnectionIdleForLongest() throws IOException {
    try (Socket first = connect("GET / HTTP/1.1\r\n\r\n")) {
      assertEquals(readLine(first), "HTTP/1.1 200 OK");
      try (Socket second = connect("GET / HTTP/1.1\r\n\r\n");
          Socket third = connect("GET / HTTP/1.1\r\n\r\n")) {
        assertEquals(readLine(second), "HTTP/1.1 200 OK");
        assertEquals(readLine(third), "HTTP/1.1 200 OK");
        first.getInputStream().readAllBytes();
        assertTrue(first.getInputStream().read() < 0, "evicted");
      }
    }
  }

  /** Otherwise clients that keep unused connections would leave none for other clients. */
  @Test
  public void closesConnectionsAfterResponseWhileManyAreUnused() throws IOException {
    HttpServer server =
        new HttpServer(
            new EventLoop(), 100, 40, new HttpServer.Timeouts(60_000, 60_000, 60_000), this);
    address = server.listen(new HostPort("127.0.0.1", 0));
    List<Socket> clients = new ArrayList<>();
    try {
      boolean closesAfterResponse = false;
      while (!closesAfterResponse && clients.size() < 20_000) {
        if (clients.size() > 30) {
          clients.remove(20).close(); // the first ones stay unused
        }
        Socket socket = connect("GET / HTTP/1.1\r\n\r\n");
        clients.add(socket);
        assertEquals(readLine(socket), "HTTP/1.1 200 OK");
        String header = readLine(socket);
        closesAfterResponse = (header + readLine(socket)).contains("Connection: close");
      }
      assertTrue(closesAfterResponse);
      assertTrue(clients.size() > 10, "not while there are few connections");
    } finally {
      for (Socket socket : clients) {
        socket.close();
      }
    }
  }

  @Test
  public void answersManyPipelinedRequests() throws IOException {
    int count = 2000;
    try (Socket socket = connect("")) {
      socket
          .getOutputStream()
          .write(
              "GET / HTTP/1.1\r\nCookie: obj=1\r\n\r\n"
                  .repeat(count)
                  .getBytes(StandardCharsets.US_ASCII));
      for (int i = 0; i < count; i++) {
        assertEquals(readLine(socket), "HTTP/1.1 200 OK", "response " + i);
        socket.getInputStream().skipNBytes("\nContent-Length: 4\r\n\r\nfine".length());
      }
    }
  }

  @Test
  public void answersPipelinedRequestsInOrder() throws IOException {
    try (Socket socket =
        connect("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n")) {
      String responses =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertEquals(responses.split("HTTP/1.1 200 OK", -1).length, 3, responses);
    }
  }

  /**
   * Answers {@code /timer} in a timer's turn and is busy for {@link #BUSY_MS} with every other
   * request.
   */
  private final class SlowHandler implements HttpServer.Handler {
    private static final int TIMER_MS = 100;
    private static final int BUSY_MS = 20;

    private final EventLoop loop;
    private final AtomicInteger handledRequests = new AtomicInteger();
    private final CountDownLatch received = new CountDownLatch(1);

    SlowHandler(EventLoop loop) {
      this.loop = loop;
    }

    @Override
    public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
      if (request.head().target().equals("/timer")) {
        received.countDown();
        loop.schedule(
            TIMER_MS,
            () -> exchange.reply(errorResponse(200, String.valueOf(handledRequests.get()))));
        return;
      }
      long busyUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BUSY_MS);
      while (System.nanoTime() < busyUntil) {
        Thread.onSpinWait();
      }
      handledRequests.incrementAndGet();
      exchange.reply(errorResponse(200, "fine"));
    }

    @Override
    public HttpServer.Response errorResponse(int status, String reason) {
      return HttpServerTest.this.errorResponse(status, reason);
    }
  }

  /** A response decided in a timer's turn must not wait behind the backlog of reads. */
  @Test
  public void writesResponseOfTimerBeforeBacklogIsHandled() throws Exception {
    EventLoop loop = new EventLoop();
    int busyClients = 40;
    SlowHandler handler = new SlowHandler(loop);
    HttpServer server = new HttpServer(loop, 100, 100, HttpServer.Timeouts.DEFAULT, handler);
    address = server.listen(new HostPort("127.0.0.1", 0));
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < busyClients; i++) {
      sockets.add(connect(""));
    }
    try (Socket waiting = connect("GET /timer HTTP/1.1\r\n\r\n")) {
      assertTrue(handler.received.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
      for (Socket socket : sockets) {
        socket
            .getOutputStream()
            .write("GET /busy HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      }
      readLine(waiting);
      int handled = handler.handledRequests.get();
      assertTrue(
          handled < busyClients / 2,
          "answered after " + handled + " of " + busyClients + " other requests");
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }
}
