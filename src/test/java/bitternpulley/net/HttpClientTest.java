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
    HostPort address = new HostPort("127.0.0.1", server.getLocalPort());
    loop.execute(
        () ->
            client.send(
                address,
                ByteBuffer.wrap("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)),
                sendBy,
                this));
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
