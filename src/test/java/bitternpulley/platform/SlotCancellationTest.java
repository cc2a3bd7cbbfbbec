package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Router;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the cancellation of parts before and after they are sent. */
public class SlotCancellationTest extends SlotServersHarness {

  /** While a retry waits for a connection, its idempotency window may end. */
  @Test
  public void doesNotSendAnAttemptAfterItsSendByTime() throws Exception {
    double[] now = {0};
    servers = builder().clock(() -> now[0]).build();
    loop.execute(
        () -> {
          servers.setAddress("s", address());
          servers.start(new Effect.StartAttempt(new AttemptId(0, 1), request, 0, "s", 2000, 0));
          now[0] = 1; // before the connection is established
          servers.start(attempt(1, 0));
        });
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), callFrame(1), "the first frame on the connection");
      assertEquals(outcomes(1), List.of("0 NOT_SENT"));
      start(0, 2);
      assertEquals(readFrame(first), callFrame(0), "its id was not used on the connection");
    }
  }

  /** A drain may be received while a part waits for a connection. */
  @Test
  public void cancelUnsentToEndsAttemptsThatWaitForAConnection() throws Exception {
    // In one turn of the event loop, so that the connection cannot be established in between.
    loop.execute(
        () -> {
          servers.start(attempt(0, 0));
          servers.cancelUnsentTo("s");
        });
    assertEquals(outcomes(1), List.of("0 NOT_SENT"));
    start(1, 0);
    try (Socket ended = server.accept()) {
      assertEquals(ended.getInputStream().read(), -1, "no byte of the call was sent");
    }
    try (Socket sent = server.accept()) {
      assertEquals(readFrame(sent), callFrame(1));
      loop.execute(() -> servers.cancelUnsentTo("s"));
      sendResult(sent, 1);
      assertEquals(outcomes(2), List.of("0 NOT_SENT", "1 OK"), "a part that was sent is awaited");
    }
  }

  /** The next attempt may go to a nearer server and must not overtake the cancellation. */
  @Test
  public void reportsACancellationAfterItHadTimeToArrive() throws Exception {
    double[] now = {0};
    servers = builder().clock(() -> now[0]).build();
    loop.execute(
        () -> {
          servers.setAddress("s", address());
          servers.start(attempt(0, 0));
          now[0] = 80; // the time taken to connect
        });
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      long before = System.nanoTime();
      cancel(0);
      assertEquals(readFrame(socket), cancelFrame(0), "the cancellation is sent at once");
      awaitEvents(1);
      assertEquals(events, List.of(new Event.AttemptCancelled(new AttemptId(0, 0))));
      assertTrue(System.nanoTime() - before >= 80_000_000);
    }
  }

  /** If cancellation is forbidden, a part that was sent must not be cancelled. */
  @Test
  public void cancelUnsentEndsAnAttemptOnlyBeforeItsFirstByte() throws Exception {
    loop.execute(
        () -> {
          servers.start(attempt(0, 0));
          cancelUnsentOnLoop(0);
        });
    assertEquals(outcomes(1), List.of("0 NOT_SENT"));
    start(1, 0);
    try (Socket socket = server.accept()) {
      assertEquals(
          readFrame(socket),
          callFrame(1),
          "over the established connection, without the cancelled part");
      loop.execute(() -> cancelUnsentOnLoop(1));
      sendResult(socket, 1);
      assertEquals(outcomes(2), List.of("0 NOT_SENT", "1 OK"));
    }
  }

  /**
   * Connects to a listener until its backlog is full, so that the next connection is established
   * late.
   */
  private static List<Socket> fillBacklog(ServerSocket listener) throws IOException {
    List<Socket> connected = new ArrayList<>();
    try {
      for (int i = 0; i < 16; i++) {
        Socket socket = new Socket();
        connected.add(socket);
        socket.connect(listener.getLocalSocketAddress(), 200);
      }
      throw new AssertionError("the backlog did not become full");
    } catch (SocketTimeoutException backlogFull) {
      connected.remove(connected.size() - 1).close();
    }
    return connected;
  }

  @Test
  public void doesNotSendAPartCancelledBeforeTheConnectionIsUp() throws Exception {
    try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      busy.setSoTimeout(TIMEOUT_MS);
      List<Socket> backlog = fillBacklog(busy);
      loop.execute(() -> servers.setAddress("s", new HostPort("127.0.0.1", busy.getLocalPort())));
      start(0, 0);
      start(1, 0);
      cancel(0);
      awaitEvents(1);
      assertEquals(
          events,
          List.of(new Event.AttemptCancelled(new AttemptId(0, 0))),
          "reported at once, since the part was never sent");
      for (Socket socket : backlog) {
        busy.accept().close();
        socket.close();
      }
      try (Socket late = busy.accept()) {
        assertEquals(readFrame(late), callFrame(1), "only the part that was not cancelled");
        sendResult(late, 1);
        awaitEvents(2);
        loop.execute(() -> servers.removeServer("s"));
        assertEquals(late.getInputStream().read(), -1);
      }
    }
  }

  @Test
  public void ignoresALateResultOfACancelledPart() throws Exception {
    start(0, 0);
    start(1, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      assertEquals(readFrame(socket), callFrame(1));
      cancel(0);
      assertEquals(readFrame(socket), cancelFrame(0));
      awaitEvents(1);
      assertEquals(events, List.of(new Event.AttemptCancelled(new AttemptId(0, 0))));
      sendResult(socket, 0);
      socket.getOutputStream().write(resultFrame(1, "00000000000000bb"));
      awaitEvents(2);
      assertEquals(((Event.AttemptEnded) events.get(1)).attempt(), new AttemptId(1, 0));
      assertEquals(((Event.AttemptEnded) events.get(1)).outcome(), Router.Outcome.OK);
    }
  }

  @Test
  public void cancelUnsentRemovesAPartFromItsCall() throws Exception {
    loop.execute(
        () -> {
          servers.startCall(List.of(attempt(0, 0), attempt(1, 0), attempt(2, 0)));
          cancelUnsentOnLoop(1);
        });
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), callFrame(0, 2));
      assertEquals(outcomes(1), List.of("1 NOT_SENT"));
    }
  }
}
