package bitternpulley.net;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.testng.annotations.BeforeMethod;

/**
 * An HTTP server with plain sockets as clients, for tests of how connections end. Tests force races
 * by blocking the event loop: the bytes that a test writes meanwhile are still unread in the
 * sockets when the server ends the connection.
 */
public abstract class HttpServerHarness implements HttpServer.Handler {
  /** Time limit of each wait, in ms. */
  static final int TIMEOUT_MS = 30_000;

  /** Longer than one read, so that bytes are unread when the connection ends. */
  static final String LONG_REQUEST = request("/long", "x".repeat(40_000));

  private static final String CONTENT_LENGTH = "Content-Length: ";

  /** Targets of the requests that were handled, in order. */
  final List<String> handled = new CopyOnWriteArrayList<>();

  /** Exchanges of the requests whose targets begin with {@code /held}. */
  final List<HttpServer.Exchange> openExchanges = new CopyOnWriteArrayList<>();

  /** Number of clients that disconnected while their request was kept open. */
  final AtomicInteger disconnects = new AtomicInteger();

  EventLoop loop;
  HttpServer server;
  HostPort address;

  /** Starts a server with many connections and the default time-outs. */
  @BeforeMethod
  public void startServer() throws IOException {
    handled.clear();
    openExchanges.clear();
    disconnects.set(0);
    listen(1000, HttpServer.Timeouts.DEFAULT);
  }

  /** Replaces the server with one that has other limits. */
  final void listen(int connections, HttpServer.Timeouts timeouts) throws IOException {
    createServer(connections, timeouts);
    address = server.listen(new HostPort("127.0.0.1", 0));
  }

  /** Replaces the server with one that does not listen yet. */
  final void createServer(int connections, HttpServer.Timeouts timeouts) {
    loop = new EventLoop();
    server = new HttpServer(loop, 64 * 1024, connections, timeouts, this);
  }

  /** Keeps requests for {@code /held} targets open and answers all others at once. */
  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    handled.add(request.head().target());
    if (request.head().target().startsWith("/held")) {
      exchange.onDisconnect(disconnects::incrementAndGet);
      openExchanges.add(exchange);
    } else {
      exchange.reply(errorResponse(200, "fine"));
    }
  }

  @Override
  public HttpServer.Response errorResponse(int status, String reason) {
    return new HttpServer.Response(status, Map.of(), reason.getBytes(StandardCharsets.UTF_8));
  }

  static String request(String target, String body) {
    return "POST " + target + " HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Connects and writes a text. */
  final Socket connect(String text) throws IOException {
    Socket socket = new Socket(address.host(), address.port());
    socket.setSoTimeout(TIMEOUT_MS);
    write(socket, text);
    return socket;
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  static String readLine(Socket socket) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = socket.getInputStream().read();
        next >= 0 && next != '\n';
        next = socket.getInputStream().read()) {
      line.append((char) next);
    }
    return line.toString().strip();
  }

  /** Reads one response whose body is short and returns its status. */
  static int readStatus(Socket socket) throws IOException {
    String statusLine = readLine(socket);
    assertTrue(statusLine.startsWith("HTTP/1.1 "), "not a response: '" + statusLine + "'");
    int status = Integer.parseInt(statusLine.split(" ", 3)[1]);
    int length = 0;
    for (String line = readLine(socket); !line.isEmpty(); line = readLine(socket)) {
      length =
          line.startsWith(CONTENT_LENGTH)
              ? Integer.parseInt(line.substring(CONTENT_LENGTH.length()))
              : length;
    }
    socket.getInputStream().readNBytes(length);
    return status;
  }

  static void awaitCondition(String description, BooleanSupplier condition)
      throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadline, description);
      Thread.sleep(1);
    }
  }

  /** An action that a test performs while the event loop is blocked. */
  interface Action {
    void run() throws IOException;
  }

  /** Runs an action during which the server reads and writes nothing. */
  final void whileLoopIsBlocked(Action action) throws IOException {
    IOException[] failure = new IOException[1];
    loop.runInTurn(
        () -> {
          try {
            action.run();
          } catch (IOException e) {
            failure[0] = e;
          }
        });
    if (failure[0] != null) {
      throw failure[0];
    }
  }
}
