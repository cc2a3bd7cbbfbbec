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
 * What no client of the real program can cause: a handler that throws, and limits that are very
 * low.
 */
public class HttpServerTest implements HttpServer.Handler {
  private static final int PATIENCE_MS = 30_000;
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
      throw new IllegalStateException("as asked for");
    }
    exchange.reply(errorResponse(200, "fine"));
  }

  @Override
  public HttpServer.Response errorResponse(int status, String reason) {
    return new HttpServer.Response(status, Map.of(), reason.getBytes(StandardCharsets.UTF_8));
  }

  private Socket connect(String text) throws IOException {
    Socket socket = new Socket(address.host(), address.port());
    socket.setSoTimeout(PATIENCE_MS);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static String firstLine(Socket socket) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = socket.getInputStream().read();
        b >= 0 && b != '\r';
        b = socket.getInputStream().read()) {
      line.append((char) b);
    }
    return line.toString();
  }

  @Test
  public void answersARequestWhoseHandlerThrows() throws IOException {
    try (Socket socket = connect("GET /throw HTTP/1.1\r\n\r\n")) {
      assertEquals(firstLine(socket), "HTTP/1.1 500 Internal Server Error");
    }
  }

  @Test
  public void rejectsARequestThatStaysIncomplete() throws IOException {
    try (Socket socket = connect("POST /half HTTP/1.1\r\nContent-Le")) {
      assertEquals(firstLine(socket), "HTTP/1.1 408 Request Timeout");
    }
  }

  @Test
  public void closesAConnectionThatStaysSilent() throws IOException {
    HttpServer server =
        new HttpServer(new EventLoop(), 100, 2, new HttpServer.Timeouts(50, 10_000, 10_000), this);
    address = server.listen(new HostPort("127.0.0.1", 0));
    try (Socket silent = connect("")) {
      assertEquals(silent.getInputStream().read(), -1);
    }
  }

  /** Many bodies may exceed the memory although none of them is too large. */
  @Test
  public void limitsIncompleteBodiesOfAllConnectionsTogether() throws IOException {
    int most = 2 << 20;
    HttpServer server =
        new HttpServer(
            new EventLoop(), most, 3, new HttpServer.Timeouts(10_000, 10_000, 10_000), this);
    address = server.listen(new HostPort("127.0.0.1", 0));
    String part =
        "POST / HTTP/1.1\r\nContent-Length: " + most + "\r\n\r\n" + "x".repeat(most - 1000);
    try (Socket first = connect(part);
        Socket second = connect(part);
        Socket third = connect(part)) {
      List<Socket> left = new ArrayList<>(List.of(first, second, third));
      Socket refused = null;
      while (refused == null) {
        for (Socket socket : left) {
          refused = socket.getInputStream().available() > 0 ? socket : refused;
        }
      }
      assertEquals(firstLine(refused), "HTTP/1.1 503 Service Unavailable");
      left.remove(refused);
      for (Socket socket : left) {
        socket.getOutputStream().write(new byte[1000]);
        assertEquals(firstLine(socket), "HTTP/1.1 200 OK", "the others are served");
      }
    }
  }

  @Test
  public void evictsTheConnectionIdleLongest() throws IOException {
    try (Socket first = connect("GET / HTTP/1.1\r\n\r\n")) {
      assertEquals(firstLine(first), "HTTP/1.1 200 OK");
      try (Socket second = connect("GET / HTTP/1.1\r\n\r\n");
          Socket third = connect("GET / HTTP/1.1\r\n\r\n")) {
        assertEquals(firstLine(second), "HTTP/1.1 200 OK");
        assertEquals(firstLine(third), "HTTP/1.1 200 OK");
        first.getInputStream().readAllBytes();
        assertTrue(first.getInputStream().read() < 0, "evicted");
      }
    }
  }

  /** Clients that keep unused connections would otherwise leave none for the others. */
  @Test
  public void closesConnectionsAfterTheirResponseWhileManyAreUnused() throws IOException {
    HttpServer server =
        new HttpServer(
            new EventLoop(), 100, 40, new HttpServer.Timeouts(60_000, 60_000, 60_000), this);
    address = server.listen(new HostPort("127.0.0.1", 0));
    List<Socket> kept = new ArrayList<>();
    try {
      boolean ended = false;
      while (!ended && kept.size() < 20_000) {
        if (kept.size() > 30) {
          kept.remove(20).close(); // the first ones stay unused
        }
        Socket socket = connect("GET / HTTP/1.1\r\n\r\n");
        kept.add(socket);
        assertEquals(firstLine(socket), "HTTP/1.1 200 OK");
        String more = firstLine(socket);
        ended = (more + firstLine(socket)).contains("Connection: close");
      }
      assertTrue(ended);
      assertTrue(kept.size() > 10, "not where there are few");
    } finally {
      for (Socket socket : kept) {
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
        assertEquals(firstLine(socket), "HTTP/1.1 200 OK", "answer " + i);
        socket.getInputStream().skipNBytes("\nContent-Length: 4\r\n\r\nfine".length());
      }
    }
  }

  @Test
  public void answersPipelinedRequestsInOrder() throws IOException {
    try (Socket socket =
        connect("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n")) {
      String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertEquals(all.split("HTTP/1.1 200 OK", -1).length, 3, all);
    }
  }

  /** Answers {@code /timer} in a timer's turn and is busy for a while with every other request. */
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
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BUSY_MS);
      while (System.nanoTime() < end) {
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
  public void writesATimersResponseBeforeTheBacklogIsHandled() throws Exception {
    EventLoop loop = new EventLoop();
    int busy = 40;
    SlowHandler handler = new SlowHandler(loop);
    HttpServer server = new HttpServer(loop, 100, 100, HttpServer.Timeouts.DEFAULT, handler);
    address = server.listen(new HostPort("127.0.0.1", 0));
    List<Socket> all = new ArrayList<>();
    for (int i = 0; i < busy; i++) {
      all.add(connect(""));
    }
    try (Socket waiting = connect("GET /timer HTTP/1.1\r\n\r\n")) {
      assertTrue(handler.received.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
      for (Socket socket : all) {
        socket
            .getOutputStream()
            .write("GET /busy HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      }
      firstLine(waiting);
      int handled = handler.handledRequests.get();
      assertTrue(handled < busy / 2, "answered after " + handled + " of " + busy + " others");
    } finally {
      for (Socket socket : all) {
        socket.close();
      }
    }
  }
}
