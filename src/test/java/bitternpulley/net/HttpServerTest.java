package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What no client of the real program can bring about: a handler that throws, and bounds set very low. */
public class HttpServerTest implements HttpServer.Handler {
  private static final int PATIENCE_MS = 30_000;
  private HostPort at;

  @BeforeMethod
  public void listen() throws IOException {
    HttpServer server = new HttpServer(new EventLoop(), 100, 2, new HttpServer.Times(10_000, 50, 10_000), this);
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
    for (int b = socket.getInputStream().read(); b >= 0 && b != '\r'; b = socket.getInputStream().read()) {
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

  @Test
  public void theLongestIdleConnectionMakesRoom() throws IOException {
    try (Socket first = connect("GET / HTTP/1.1\r\n\r\n")) {
      assertEquals(firstLine(first), "HTTP/1.1 200 OK");
      try (Socket second = connect("GET / HTTP/1.1\r\n\r\n"); Socket third = connect("GET / HTTP/1.1\r\n\r\n")) {
        assertEquals(firstLine(second), "HTTP/1.1 200 OK");
        assertEquals(firstLine(third), "HTTP/1.1 200 OK");
        first.getInputStream().readAllBytes();
        assertTrue(first.getInputStream().read() < 0, "closed to make room");
      }
    }
  }

  @Test
  public void pipelinedRequestsAreAnsweredInTurn() throws IOException {
    try (Socket socket = connect("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n")) {
      String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertEquals(all.split("HTTP/1.1 200 OK", -1).length, 3, all);
    }
  }
}
