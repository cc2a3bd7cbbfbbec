package bitternpulley.net;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls to a server that the test implements with plain sockets. */
public class HttpClientTest implements HttpClient.ResponseHandler {
  private static final int TIMEOUT_MS = 30_000;
  private static final int NAMED_REQUEST_BYTES = "GET / HTTP/1.1\r\nN: a\r\n\r\n".length();

  private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private EventLoop loop;
  private HttpClient client;
  private ServerSocket server;

  @BeforeMethod
  public void startClientAndServer() throws IOException {
    outcomes.clear();
    loop = new EventLoop();
    client = new HttpClient(loop, 1000, 4, 5000, 5000);
    server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    server.setSoTimeout(TIMEOUT_MS);
  }

  @AfterMethod
  public void closeServer() throws IOException {
    server.close();
  }

  @Override
  public void response(HttpClient.Response response) {
    outcomes.add(response.status() + " " + new String(response.body(), StandardCharsets.US_ASCII));
  }

  @Override
  public void failed(HttpClient.Failure failure, String reason) {
    outcomes.add(failure.toString());
  }

  private void send(double sendBy) {
    send("GET / HTTP/1.1\r\n\r\n", sendBy, HttpClient.ResponseMatcher.IN_ORDER);
  }

  private void send(String request, double sendBy, HttpClient.ResponseMatcher matcher) {
    HostPort address = new HostPort("127.0.0.1", server.getLocalPort());
    ByteBuffer bytes = ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII));
    loop.execute(() -> client.send(address, new HttpClient.Request(bytes, sendBy, matcher), this));
  }

  /** Sends a request whose response may name it. */
  private void sendNamed(String name) {
    send(
        "GET / HTTP/1.1\r\nN: " + name + "\r\n\r\n",
        Double.POSITIVE_INFINITY,
        head ->
            head.header("n") == null
                ? HttpClient.ResponseMatch.UNKNOWN
                : head.header("n").equals(name)
                    ? HttpClient.ResponseMatch.CONFIRMED
                    : HttpClient.ResponseMatch.OTHER_REQUEST);
  }

  private static void respond(Socket socket, String header, String body) throws IOException {
    socket
        .getOutputStream()
        .write(
            ("HTTP/1.1 200 OK\r\n" + header + "Content-Length: 1\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
  }

  /** The copy arrives while the next request is in progress on the connection. */
  @Test
  public void doesNotTakeCopyOfEarlierResponseForTheNextOne() throws Exception {
    sendNamed("a");
    try (Socket socket = server.accept()) {
      socket.setSoTimeout(TIMEOUT_MS);
      socket.getInputStream().readNBytes(NAMED_REQUEST_BYTES);
      respond(socket, "N: a\r\n", "1");
      assertEquals(nextOutcome(), "200 1");
      sendNamed("b");
      socket.getInputStream().readNBytes(NAMED_REQUEST_BYTES);
      respond(socket, "N: a\r\n", "1");
      assertEquals(nextOutcome(), "MAYBE_SENT");
      assertEquals(socket.getInputStream().read(), -1, "the connection is closed");
    }
  }

  @Test
  public void doesNotReuseConnectionAfterResponseThatNamesNoRequest() throws Exception {
    sendNamed("a");
    try (Socket socket = server.accept()) {
      socket.setSoTimeout(TIMEOUT_MS);
      socket.getInputStream().readNBytes(NAMED_REQUEST_BYTES);
      respond(socket, "", "1");
      assertEquals(nextOutcome(), "200 1");
      assertEquals(socket.getInputStream().read(), -1, "the connection is closed");
    }
    sendNamed("b");
    try (Socket socket = server.accept()) {
      socket.getInputStream().readNBytes(NAMED_REQUEST_BYTES);
      respond(socket, "", "2");
      assertEquals(nextOutcome(), "200 2");
    }
  }

  @Test
  public void expectsNameOnceResponsesOfTheConnectionHadOne() throws Exception {
    sendNamed("a");
    try (Socket socket = server.accept()) {
      socket.getInputStream().readNBytes(NAMED_REQUEST_BYTES);
      respond(socket, "N: a\r\n", "1");
      assertEquals(nextOutcome(), "200 1");
      sendNamed("b");
      socket.getInputStream().readNBytes(NAMED_REQUEST_BYTES);
      respond(socket, "", "2");
      assertEquals(nextOutcome(), "MAYBE_SENT");
    }
  }

  private String nextOutcome() throws InterruptedException {
    return outcomes.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void respondWithoutLength(boolean reset) throws IOException {
    send(Double.POSITIVE_INFINITY);
    try (Socket socket = server.accept()) {
      socket.getInputStream().readNBytes(18);
      socket
          .getOutputStream()
          .write("HTTP/1.1 200 OK\r\n\r\n{\"half\":1}".getBytes(StandardCharsets.US_ASCII));
      socket.setSoLinger(reset, 0);
    }
  }

  @Test
  public void acceptsResponseWithoutLengthThatEndsWithOrderlyClose() throws Exception {
    respondWithoutLength(false);
    assertEquals(nextOutcome(), "200 {\"half\":1}");
  }

  @Test
  public void rejectsResponseWithoutLengthThatEndsWithReset() throws Exception {
    respondWithoutLength(true);
    assertEquals(nextOutcome(), "MAYBE_SENT");
  }

  @Test
  public void failsWithoutSendingWhenConnectionIsEstablishedTooLate() throws Exception {
    send(loop.now());
    try (Socket socket = server.accept()) {
      assertEquals(nextOutcome(), "NOT_IN_TIME");
      socket.setSoTimeout(TIMEOUT_MS);
      assertEquals(socket.getInputStream().read(), -1, "no byte is sent");
    }
  }
}
