package bitternpulley.net;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Requests that cross the close of their connection. The client never sees a reset. */
public class HttpCloseRaceTest extends HttpServerHarness {
  private void closeWhileARequestArrives(Action close) throws Exception {
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(readStatus(client), 200);
      whileLoopIsBlocked(
          () -> {
            write(client, LONG_REQUEST);
            close.run();
          });
      assertEquals(
          client.getInputStream().read(), -1, "an orderly close, with no byte of a response");
    }
    assertEquals(handled, List.of("/first"), "no request behind the close is handled");
  }

  @Test
  public void closesAnIdleConnectionWithoutResetWhenARequestCrosses() throws Exception {
    closeWhileARequestArrives(
        () -> {
          server.drain();
          server.stopListening();
        });
  }

  /** A complete response or an orderly close; never a reset, nor a request handled unanswered. */
  private void assertAnsweredOrClosedInOrder(Socket client, String target) throws IOException {
    int first = client.getInputStream().read();
    assertEquals(
        first < 0 ? 0 : handled.stream().filter(target::equals).count(), first < 0 ? 0 : 1);
    assertEquals(handled.contains(target), first >= 0, "handled, and its client received " + first);
    if (first >= 0) {
      assertEquals(readLine(client), "TTP/1.1 200 OK");
    }
  }

  /**
   * The loop is blocked until the time-out is due: sweep and request race for the next turn, and
   * either order is correct.
   */
  @Test(invocationCount = 20)
  public void answersOrClosesInOrderWhenARequestCrossesTheIdleTimeout() throws Exception {
    listen(1000, new HttpServer.Timeouts(2000, 2200, 20));
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(readStatus(client), 200);
      double from = loop.now();
      whileLoopIsBlocked(
          () -> {
            while (loop.now() < from + 30) {
              Thread.onSpinWait();
            }
            write(client, LONG_REQUEST);
          });
      assertAnsweredOrClosedInOrder(client, "/long");
    }
  }

  /**
   * The connection idle longest is evicted for a new one while its next request lies in the socket.
   */
  @Test(invocationCount = 5)
  public void answersOrClosesInOrderWhenARequestCrossesItsEviction() throws Exception {
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
    assertAnsweredOrClosedInOrder(clients.get(0), "/long");
    Socket newcomer = clients.get(clients.size() - 1);
    assertEquals(readStatus(newcomer), 200);
    for (Socket socket : clients) {
      socket.close();
    }
  }

  @Test
  public void closesInOrderWhenARequestCrossesTheCloseOfAQuiescedServer() throws Exception {
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(readStatus(client), 200);
      loop.execute(() -> server.quiesce(true));
      // The client writes when the close has arrived, as one would that has not noticed it yet.
      assertEquals(client.getInputStream().read(), -1);
      write(client, request("/behind", ""));
    }
    try (Socket other = connect(request("/other", ""))) {
      assertEquals(readStatus(other), 200);
      assertEquals(other.getInputStream().read(), -1, "the response ends it");
    }
    assertEquals(handled, List.of("/first", "/other"), "no request behind the close is handled");
  }

  /** Unread bytes at the close would cause a reset that destroys the response. */
  @Test
  public void deliversTheLastResponseCompletelyWhateverIsSentBehindTheRequest() throws Exception {
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
