package bitternpulley.net;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests what clients receive while a server starts to accept, drains and stops. */
public class HttpShutdownTest extends HttpServerHarness {
  @Test
  public void answersRequestReadBeforeServerStops() throws Exception {
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(readStatus(client), 200);
      write(client, request("/held", ""));
      awaitCondition("the request is read", () -> openExchanges.size() == 1);
      whileLoopIsBlocked(
          () -> {
            server.drain();
            server.stopListening();
            openExchanges.get(0).reply(errorResponse(200, "fine"));
          });
      assertEquals(readStatus(client), 200);
      assertEquals(client.getInputStream().read(), -1);
    }
  }

  /** When the server stops, the kernel has accepted connections that the server has not yet. */
  @Test
  public void servesConnectionsInBacklogBeforeListenerCloses() throws Exception {
    List<Socket> clients = new ArrayList<>();
    whileLoopIsBlocked(
        () -> {
          for (int i = 0; i < 20; i++) {
            clients.add(connect(request("/late", "")));
          }
          server.drain();
          server.stopListening();
        });
    for (Socket socket : clients) {
      assertEquals(readStatus(socket), 200);
      assertEquals(socket.getInputStream().read(), -1);
      socket.close();
    }
    awaitCondition("no work is left", () -> pendingWork() == 0);
  }

  /** The client has connected, but its first request arrives after the server stops listening. */
  @Test
  public void servesFirstRequestOfNewConnectionAfterListeningStops() throws Exception {
    try (Socket other = connect(request("/other", ""));
        Socket fresh = connect("")) {
      assertEquals(readStatus(other), 200);
      try (Socket later = connect(request("/behind", ""))) {
        assertEquals(readStatus(later), 200, "the fresh connection was accepted before this one");
        whileLoopIsBlocked(
            () -> {
              server.drain();
              server.stopListening();
              write(fresh, request("/fresh", ""));
            });
        assertEquals(readStatus(fresh), 200);
      }
    }
  }

  /** If the process exited earlier, a client that is still reading would receive a reset. */
  @Test
  public void reportsPendingWorkUntilClientHasClosedItsSide() throws Exception {
    try (Socket client = connect(request("/held", ""))) {
      awaitCondition("the request is in progress", () -> openExchanges.size() == 1);
      whileLoopIsBlocked(
          () -> {
            server.drain();
            server.stopListening();
            openExchanges.get(0).reply(errorResponse(200, "fine"));
          });
      awaitCondition("no more connections are accepted", () -> !acceptsConnections());
      assertEquals(pendingWork(), 1, "the client has not read its response yet");
      assertEquals(readStatus(client), 200);
      assertEquals(client.getInputStream().read(), -1);
    }
    awaitCondition("the client has disconnected", () -> pendingWork() == 0);
  }

  /** The platform would kill the process before it could respond to a request this late. */
  @Test
  public void rejectsIncompleteRequestOnceListeningHasStopped() throws Exception {
    try (Socket client = connect(LONG_REQUEST.substring(0, 20_000))) {
      awaitCondition("the request has begun", () -> pendingWork() == 2);
      whileLoopIsBlocked(
          () -> {
            server.drain();
            server.stopListening();
          });
      assertEquals(readStatus(client), 503);
      assertEquals(client.getInputStream().read(), -1);
    }
    assertEquals(handled, List.of());
  }

  /** Connections that are held back wait in the kernel's backlog. */
  @Test
  public void servesHeldBackConnectionsOnceTheyAreAccepted() throws Exception {
    createServer(100, HttpServer.Timeouts.DEFAULT);
    server.holdBackConnections();
    address = server.listen(new HostPort("127.0.0.1", 0));
    try (Socket client = connect(request("/early", ""))) {
      loop.runInTurn(() -> assertEquals(handled, List.of()));
      loop.execute(server::acceptConnections);
      assertEquals(readStatus(client), 200);
    }
  }

  private int pendingWork() {
    int[] count = new int[1];
    loop.runInTurn(() -> count[0] = server.countPendingWork());
    return count[0];
  }

  @SuppressWarnings("try") // the connection itself is under test
  private boolean acceptsConnections() {
    try (Socket probe = new Socket(address.host(), address.port())) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
