package bitternpulley.net;

import static org.testng.Assert.assertEquals;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Clients that disconnect while the server owes them a response. */
public class HttpDisconnectTest extends HttpServerHarness {
  private void disconnectWhileRequestsAreHeld(int clients, String behind, boolean reset)
      throws Exception {
    List<Socket> all = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      all.add(connect(request("/held", "") + behind));
    }
    awaitCondition("all requests are in progress", () -> openExchanges.size() == clients);
    for (Socket socket : all) {
      socket.setSoLinger(reset, 0);
      socket.close();
    }
    awaitCondition("every disconnect is reported", () -> disconnects.get() == clients);
    assertEquals(handled.size(), clients, "no pipelined request is handled");
  }

  @Test
  public void noticesAClientThatDisconnects() throws Exception {
    disconnectWhileRequestsAreHeld(1, "", false);
  }

  @Test
  public void noticesAClientThatDisconnectsByReset() throws Exception {
    disconnectWhileRequestsAreHeld(1, request("/ahead", ""), true);
  }

  @Test
  public void noticesTwoHundredClientsThatDisconnectAtOnce() throws Exception {
    disconnectWhileRequestsAreHeld(200, "", false);
  }

  /** The end of the connection lies unread behind what was sent ahead. */
  @Test
  public void noticesTheDisconnectBehindPipelinedRequests() throws Exception {
    disconnectWhileRequestsAreHeld(3, request("/ahead", "x").repeat(1000), false);
  }

  /** The same when more was sent ahead than is buffered. */
  @Test
  public void noticesTheDisconnectBehindMorePipelinedBytesThanAreBuffered() throws Exception {
    disconnectWhileRequestsAreHeld(2, request("/ahead", "x".repeat(1000)).repeat(2000), false);
  }

  /** The client has left before its request is read. */
  @SuppressWarnings("try") // the early close is the disconnect under test
  @Test
  public void doesNotHandleARequestWhoseClientHasDisconnected() throws Exception {
    try (Socket first = connect(request("/first", ""))) {
      assertEquals(readStatus(first), 200);
      whileLoopIsBlocked(
          () -> {
            write(first, request("/left", ""));
            first.close();
          });
    }
    try (Socket next = connect(request("/next", ""))) {
      assertEquals(readStatus(next), 200);
    }
    assertEquals(handled, List.of("/first", "/next"));
  }

  /** A timer may fire in the turn in which its client disconnects or is answered. */
  @Test
  public void ignoresASecondResponseAndOneAfterTheDisconnect() throws Exception {
    try (Socket client = connect(request("/held", ""))) {
      awaitCondition("the request is in progress", () -> openExchanges.size() == 1);
      whileLoopIsBlocked(
          () -> {
            openExchanges.get(0).reply(errorResponse(200, "one"));
            openExchanges.get(0).reply(errorResponse(500, "two"));
          });
      assertEquals(readStatus(client), 200);
      write(client, request("/held2", ""));
      awaitCondition("the request is in progress", () -> openExchanges.size() == 2);
    }
    awaitCondition("the disconnect is reported", () -> disconnects.get() == 1);
    loop.execute(() -> openExchanges.get(1).reply(errorResponse(200, "late")));
    try (Socket next = connect(request("/next", ""))) {
      assertEquals(readStatus(next), 200);
    }
  }
}
