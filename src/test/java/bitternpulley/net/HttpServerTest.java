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
 * What no client of the real program can bring about: a handler that throws, and bounds set very
 * low.
 */
public class HttpServerTest implements HttpServer.Handler {
  private static final int PATIENCE_MS = 30_000;
  private HostPort at;

  @BeforeMethod
  public void listen() throws IOException {
    HttpServer server =
        new HttpServer(new EventLoop(), 100, 2, new HttpServer.Timeouts(10_000, 50, 10_000), this);
    at = server.listen(new HostPort("127.0.0.1", 0));
  }

  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    if (request.head().target().equals("/throw")) {
      throw new IllegalStateException("as asked for");
    }
    exchange.reply(unusable(200, "fine"));
  }

  @Override
  public HttpServer.Response unusable(int status, String reason) {
    return new HttpServer.Response(status, Map.of(), reason.getBytes(StandardCharsets.UTF_8));
  }

  private Socket connect(String text) throws IOException {
    Socket socket = new Socket(at.host(), at.port());
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
  public void aRequestWhoseHandlerThrowsIsAnswered() throws IOException {
    try (Socket socket = connect("GET /throw HTTP/1.1\r\n\r\n")) {
      assertEquals(firstLine(socket), "HTTP/1.1 500 Internal Server Error");
    }
  }

  @Test
  public void aRequestThatNeverEndsIsEnded() throws IOException {
    try (Socket socket = connect("POST /half HTTP/1.1\r\nContent-Le")) {
      assertEquals(firstLine(socket), "HTTP/1.1 408 Request Timeout");
    }
  }

  /** Guards against connections that are opened and then left. */
  @Test
  public void aConnectionThatSaysNothingIsClosed() throws IOException {
    HttpServer server =
        new HttpServer(new EventLoop(), 100, 2, new HttpServer.Timeouts(50, 10_000, 10_000), this);
    at = server.listen(new HostPort("127.0.0.1", 0));
    try (Socket silent = connect("")) {
      assertEquals(silent.getInputStream().read(), -1);
    }
  }

  /** Guards against memory used up by bodies of which none is too large by itself. */
  @Test
  public void unfinishedBodiesAreBoundedTogether() throws IOException {
    int most = 2 << 20;
    HttpServer server =
        new HttpServer(
            new EventLoop(), most, 3, new HttpServer.Timeouts(10_000, 10_000, 10_000), this);
    at = server.listen(new HostPort("127.0.0.1", 0));
    String part =
        "POST / HTTP/1.1\r\nContent-Length: " + most + "\r\n\r\n" + "x".repeat(most - 1000);
    try (Socket first = connect(part);
        Socket second = connect(part);
        Socket third = connect(part)) {
      List<Socket> left = new ArrayList<>(List.of(first, second, third));
      Socket refused = null;
      while (refused == null) {
        for (Socket s : left) {
          refused = s.getInputStream().available() > 0 ? s : refused;
        }
      }
      assertEquals(firstLine(refused), "HTTP/1.1 503 Service Unavailable");
      left.remove(refused);
      for (Socket s : left) {
        s.getOutputStream().write(new byte[1000]);
        assertEquals(firstLine(s), "HTTP/1.1 200 OK", "the others go on");
      }
    }
  }

  @Test
  public void theLongestIdleConnectionMakesRoom() throws IOException {
    try (Socket first = connect("GET / HTTP/1.1\r\n\r\n")) {
      assertEquals(firstLine(first), "HTTP/1.1 200 OK");
      try (Socket second = connect("GET / HTTP/1.1\r\n\r\n");
          Socket third = connect("GET / HTTP/1.1\r\n\r\n")) {
        assertEquals(firstLine(second), "HTTP/1.1 200 OK");
        assertEquals(firstLine(third), "HTTP/1.1 200 OK");
        first.getInputStream().readAllBytes();
        assertTrue(first.getInputStream().read() < 0, "closed to make room");
      }
    }
  }

  /**
   * Guards against clients that ask once and keep their connection, by which the others come to
   * have none left.
   */
  @Test
  public void whereManyKeepTheirConnectionsAnAnswerEndsItsOwn() throws IOException {
    HttpServer server =
        new HttpServer(
            new EventLoop(), 100, 40, new HttpServer.Timeouts(60_000, 60_000, 60_000), this);
    at = server.listen(new HostPort("127.0.0.1", 0));
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
      for (Socket s : kept) {
        s.close();
      }
    }
  }

  /**
   * Guards against a client cut off, and its open request lost, since it sent many requests at
   * once.
   */
  @Test
  public void manyRequestsAtOnceWaitUnread() throws IOException {
    int count = 2000;
    try (Socket socket = connect("")) {
      socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nCookie: obj=1\r\n\r\n".repeat(count).getBytes());
      for (int i = 0; i < count; i++) {
        assertEquals(firstLine(socket), "HTTP/1.1 200 OK", "answer " + i);
        socket.getInputStream().skipNBytes("\nContent-Length: 4\r\n\r\nfine".length());
      }
    }
  }

  @Test
  public void pipelinedRequestsAreAnsweredInTurn() throws IOException {
    try (Socket socket =
        connect("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n")) {
      String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertEquals(all.split("HTTP/1.1 200 OK", -1).length, 3, all);
    }
  }

  /**
   * Guards against an answer that is decided at its time, in an alarm's turn, and goes out only
   * when all that has come in before is dealt with.
   */
  @Test
  public void anAlarmsAnswerDoesNotWaitForWhatHasComeIn() throws Exception {
    EventLoop loop = new EventLoop();
    int busy = 40;
    AtomicInteger dealtWith = new AtomicInteger();
    CountDownLatch taken = new CountDownLatch(1);
    HttpServer server =
        new HttpServer(
            loop,
            100,
            100,
            HttpServer.Timeouts.USUAL,
            new HttpServer.Handler() {
              @Override
              public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
                if (request.head().target().equals("/alarm")) {
                  taken.countDown();
                  loop.after(
                      100, () -> exchange.reply(unusable(200, String.valueOf(dealtWith.get()))));
                  return;
                }
                long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(20);
                while (System.nanoTime() < end) {
                  Thread.onSpinWait();
                }
                dealtWith.incrementAndGet();
                exchange.reply(unusable(200, "fine"));
              }

              @Override
              public HttpServer.Response unusable(int status, String reason) {
                return HttpServerTest.this.unusable(status, reason);
              }
            });
    at = server.listen(new HostPort("127.0.0.1", 0));
    List<Socket> all = new ArrayList<>();
    for (int i = 0; i < busy; i++) {
      all.add(connect(""));
    }
    try (Socket waits = connect("GET /alarm HTTP/1.1\r\n\r\n")) {
      assertTrue(taken.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
      for (Socket s : all) {
        s.getOutputStream().write("GET /busy HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      }
      firstLine(waits);
      assertTrue(
          dealtWith.get() < busy / 2,
          "answered after " + dealtWith.get() + " of " + busy + " others");
    } finally {
      for (Socket s : all) {
        s.close();
      }
    }
  }
}
