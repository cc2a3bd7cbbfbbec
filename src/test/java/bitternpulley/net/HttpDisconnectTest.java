package bitternpulley.net;

import static org.testng.Assert.assertEquals;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests clients that disconnect while their response is pending. */
public class HttpDisconnectTest extends HttpServerHarness {
  private void disconnectWhileRequestsArePending(int clients, String pipelined, boolean reset)
      throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      sockets.add(connect(request("/held", "") + pipelined));
    }
    awaitCondition("all requests are in progress", () -> openExchanges.size() == clients);
    for (Socket socket : sockets) {
      socket.setSoLinger(reset, 0);
      socket.close();
    }
    awaitCondition("every disconnect is reported", () -> disconnects.get() == clients);
    assertEquals(handled.size(), clients, "no pipelined request is handled");
  }

  @Test
  public void noticesDisconnect() throws Exception {
    disconnectWhileRequestsArePending(1, "", false);
  }

  @Test
  public void noticesDisconnectByReset() throws Exception {
    disconnectWhileRequestsArePending(1, request("/ahead", ""), true);
  }

  @Test
  public void noticesDisconnectOfTwoHundredClientsAtOnce() throws Exception {
    disconnectWhileRequestsArePending(200, "", false);
  }

  /** The server reads the end of the stream only after the pipelined requests. */
  @Test
  public void noticesDisconnectAfterPipelinedRequests() throws Exception {
    disconnectWhileRequestsArePending(3, request("/ahead", "x").repeat(1000), false);
  }

  /** More pipelined requests than the server buffers precede the end of the stream. */
  @Test
  public void noticesDisconnectAfterMorePipelinedBytesThanAreBuffered() throws Exception {
    disconnectWhileRequestsArePending(2, request("/ahead", "x".repeat(1000)).repeat(2000), false);
  }

  /** The client disconnects before its request is read. */
  @SuppressWarnings("try") // the early close is the disconnect under test
  @Test
  public void doesNotHandleRequestWhoseClientHasDisconnected() throws Exception {
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

  /** A timer may fire in the turn in which the client disconnects or receives its response. */
  @Test
  public void ignoresSecondResponseAndResponseAfterDisconnect() throws Exception {
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
