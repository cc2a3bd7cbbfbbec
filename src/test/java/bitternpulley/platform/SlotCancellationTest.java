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

/** Cancellation of parts before and after they were sent. */
public class SlotCancellationTest extends SlotServersHarness {

  /** A retry waits for a connection, and its idempotency window ends meanwhile. */
  @Test
  public void sendsNothingAfterItsLastSendTime() throws Exception {
    double[] now = {0};
    servers = builder().clock(() -> now[0]).build();
    loop.execute(
        () -> {
          servers.setAddress("s", address());
          servers.start(new Effect.StartAttempt(new AttemptId(0, 1), request, 0, "s", 2000, 0));
          now[0] = 1; // before it can come up
          servers.start(attempt(1, 0));
        });
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), call(1), "the first frame sent over it");
      assertEquals(outcomes(1), List.of("0 NOT_SENT"));
      start(0, 2);
      assertEquals(readFrame(first), call(0), "its id has not been used there");
    }
  }

  /** A drain may be received while a part waits for its connection. */
  @Test
  public void cancelUnsentToAServerEndsWhatWaitsForAConnection() throws Exception {
    // In one turn, so that the connection has no chance to come up in between.
    loop.execute(
        () -> {
          servers.start(attempt(0, 0));
          servers.cancelUnsentTo("s");
        });
    assertEquals(outcomes(1), List.of("0 NOT_SENT"));
    start(1, 0);
    try (Socket ended = server.accept()) {
      assertEquals(ended.getInputStream().read(), -1, "not a byte of it was sent");
    }
    try (Socket sent = server.accept()) {
      assertEquals(readFrame(sent), call(1));
      loop.execute(() -> servers.cancelUnsentTo("s"));
      answer(sent, 1);
      assertEquals(outcomes(2), List.of("0 NOT_SENT", "1 OK"), "what was sent is awaited");
    }
  }

  /** The next attempt, at a nearer server, must not overtake the cancellation. */
  @Test
  public void reportsACancellationOnceItHasHadTheTimeToArrive() throws Exception {
    double[] now = {0};
    servers = builder().clock(() -> now[0]).build();
    loop.execute(
        () -> {
          servers.setAddress("s", address());
          servers.start(attempt(0, 0));
          now[0] = 80; // the time that the connection takes to come up
        });
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), call(0));
      long before = System.nanoTime();
      cancel(0);
      assertEquals(readFrame(socket), cancellation(0), "it is sent at once");
      awaitEvents(1);
      assertEquals(events, List.of(new Event.AttemptCancelled(new AttemptId(0, 0))));
      assertTrue(System.nanoTime() - before >= 80_000_000);
    }
  }

  /** Where cancellation is forbidden, what was sent must not be cancelled. */
  @Test
  public void cancelUnsentEndsAnAttemptOnlyBeforeItsFirstByte() throws Exception {
    loop.execute(
        () -> {
          servers.start(attempt(0, 0));
          cancelUnsentNow(0);
        });
    assertEquals(outcomes(1), List.of("0 NOT_SENT"));
    start(1, 0);
    try (Socket socket = server.accept()) {
      assertEquals(
          readFrame(socket), call(1), "over the connection that is up, and nothing of the other");
      loop.execute(() -> cancelUnsentNow(1));
      answer(socket, 1);
      assertEquals(outcomes(2), List.of("0 NOT_SENT", "1 OK"));
    }
  }

  /**
   * Connects to a listener until its backlog is full, so that the next connection comes up late.
   */
  private static List<Socket> fillBacklog(ServerSocket listener) throws IOException {
    List<Socket> accepted = new ArrayList<>();
    try {
      for (int i = 0; i < 16; i++) {
        Socket socket = new Socket();
        accepted.add(socket);
        socket.connect(listener.getLocalSocketAddress(), 200);
      }
      throw new AssertionError("the backlog is never full");
    } catch (SocketTimeoutException e) {
      accepted.remove(accepted.size() - 1).close();
    }
    return accepted;
  }

  @Test
  public void sendsNothingCancelledBeforeALateConnectionIsUp() throws Exception {
    try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      busy.setSoTimeout(PATIENCE_MS);
      List<Socket> before = fillBacklog(busy);
      loop.execute(() -> servers.setAddress("s", new HostPort("127.0.0.1", busy.getLocalPort())));
      start(0, 0);
      start(1, 0);
      cancel(0);
      awaitEvents(1);
      assertEquals(
          events,
          List.of(new Event.AttemptCancelled(new AttemptId(0, 0))),
          "at once: it was never sent");
      for (Socket socket : before) {
        busy.accept().close();
        socket.close();
      }
      try (Socket late = busy.accept()) {
        assertEquals(readFrame(late), call(1), "and only that");
        answer(late, 1);
        awaitEvents(2);
        loop.execute(() -> servers.forget("s"));
        assertEquals(late.getInputStream().read(), -1);
      }
    }
  }

  @Test
  public void ignoresALateResultOfACancelledPart() throws Exception {
    start(0, 0);
    start(1, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), call(0));
      assertEquals(readFrame(socket), call(1));
      cancel(0);
      assertEquals(readFrame(socket), cancellation(0));
      awaitEvents(1);
      assertEquals(events, List.of(new Event.AttemptCancelled(new AttemptId(0, 0))));
      answer(socket, 0);
      socket.getOutputStream().write(result(1, "00000000000000bb"));
      awaitEvents(2);
      assertEquals(((Event.AttemptEnded) events.get(1)).attempt(), new AttemptId(1, 0));
      assertEquals(((Event.AttemptEnded) events.get(1)).outcome(), Router.Outcome.OK);
    }
  }

  @Test
  public void cancelUnsentTakesAPartOutOfItsCall() throws Exception {
    loop.execute(
        () -> {
          servers.startCall(List.of(attempt(0, 0), attempt(1, 0), attempt(2, 0)));
          cancelUnsentNow(1);
        });
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), call(0, 2));
      assertEquals(outcomes(1), List.of("1 NOT_SENT"));
    }
  }
}
