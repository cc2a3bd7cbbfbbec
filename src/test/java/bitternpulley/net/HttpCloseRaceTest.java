package bitternpulley.net;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * Tests requests that arrive while the server closes their connection. The client must never
 * receive a reset.
 */
public class HttpCloseRaceTest extends HttpServerHarness {
  private void closeWhileRequestArrives(Action close) throws Exception {
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(readStatus(client), 200);
      whileLoopIsBlocked(
          () -> {
            write(client, LONG_REQUEST);
            close.run();
          });
      assertEquals(client.getInputStream().read(), -1, "an orderly close without a response");
    }
    assertEquals(handled, List.of("/first"), "no request after the close is handled");
  }

  @Test
  public void closesIdleConnectionWithoutResetWhenRequestCrosses() throws Exception {
    closeWhileRequestArrives(
        () -> {
          server.drain();
          server.stopListening();
        });
  }

  /**
   * Checks that the client receives a complete response or an orderly close, never a reset, and
   * that every handled request has a response.
   */
  private void assertAnsweredOrClosedWithoutReset(Socket client, String target) throws IOException {
    int first = client.getInputStream().read();
    assertEquals(
        first < 0 ? 0 : handled.stream().filter(target::equals).count(), first < 0 ? 0 : 1);
    assertEquals(
        handled.contains(target), first >= 0, "handled only if answered; first byte: " + first);
    if (first >= 0) {
      assertEquals(readLine(client), "TTP/1.1 200 OK");
    }
  }

  /**
   * The loop is blocked until the time-out is due, so that the next turn may belong to the idle
   * check or to the request. Either order is correct.
   */
  @Test(invocationCount = 20)
  public void answersOrClosesWithoutResetWhenRequestCrossesIdleTimeout() throws Exception {
    listen(1000, new HttpServer.Timeouts(2000, 2200, 20));
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(readStatus(client), 200);
      double start = loop.now();
      whileLoopIsBlocked(
          () -> {
            while (loop.now() < start + 30) {
              Thread.onSpinWait();
            }
            write(client, LONG_REQUEST);
          });
      assertAnsweredOrClosedWithoutReset(client, "/long");
    }
  }

  /**
   * The connection idle for longest is evicted for a new one while its next request is unread in
   * the socket.
   */
  @Test(invocationCount = 5)
  public void answersOrClosesWithoutResetWhenRequestCrossesEviction() throws Exception {
    int maxConnections = 16;
    listen(maxConnections, HttpServer.Timeouts.DEFAULT);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < maxConnections - 2; i++) {
      clients.add(connect(request("/first" + i, "")));
      assertEquals(readStatus(clients.get(i)), 200);
    }
    whileLoopIsBlocked(
        () -> {
          write(clients.get(0), LONG_REQUEST);
          clients.add(connect(request("/newcomer", "")));
        });
    assertAnsweredOrClosedWithoutReset(clients.get(0), "/long");
    Socket newcomer = clients.get(clients.size() - 1);
    assertEquals(readStatus(newcomer), 200);
    for (Socket socket : clients) {
      socket.close();
    }
  }

  @Test
  public void closesWithoutResetWhenRequestCrossesCloseByQuiescedServer() throws Exception {
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(readStatus(client), 200);
      loop.execute(() -> server.setQuiesced(true));
      // The client writes after the close has arrived, like a client that has not noticed it yet.
      assertEquals(client.getInputStream().read(), -1);
      write(client, request("/behind", ""));
    }
    try (Socket other = connect(request("/other", ""))) {
      assertEquals(readStatus(other), 200);
      assertEquals(other.getInputStream().read(), -1, "the response closes the connection");
    }
    assertEquals(handled, List.of("/first", "/other"), "no request after the close is handled");
  }

  /** Closing with unread bytes would cause a reset that destroys the response. */
  @Test
  public void deliversLastResponseCompletelyWhenMoreRequestsFollow() throws Exception {
    try (Socket client = connect(request("/held", ""))) {
      awaitCondition("the request is in progress", () -> openExchanges.size() == 1);
      whileLoopIsBlocked(
          () -> {
            server.drain();
            write(client, LONG_REQUEST);
            openExchanges
                .get(0)
                .reply(
                    new HttpServer.Response(
                        200, Map.of(), "y".repeat(60_000).getBytes(StandardCharsets.US_ASCII)));
            write(client, LONG_REQUEST);
          });
      assertEquals(readStatus(client), 200);
      assertEquals(client.getInputStream().read(), -1);
    }
    assertEquals(handled, List.of("/held"));
  }
}
