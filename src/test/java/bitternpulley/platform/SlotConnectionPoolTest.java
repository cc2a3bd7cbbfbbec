package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Router;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import org.testng.annotations.Test;

/** Tests which connection a call uses, and when connections are opened and closed. */
public class SlotConnectionPoolTest extends SlotServersHarness {

  @Test
  public void retriesACancelledPartOverAnotherConnection() throws Exception {
    start(0, 0);
    start(2, 0);
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), callFrame(0));
      assertEquals(readFrame(first), callFrame(2));
      sendResult(first, 2);
      assertEquals(outcomes(1), List.of("2 OK"));
      cancel(0);
      assertEquals(readFrame(first), cancelFrame(0));
      start(0, 1);
      try (Socket second = server.accept()) {
        assertEquals(readFrame(second), callFrame(0));
        start(1, 0);
        assertEquals(readFrame(first), callFrame(1), "other parts still use the first connection");
      }
    }
  }

  /** A connection without input since the call was written may be dead without an error. */
  @Test
  public void retiresAConnectionWithoutInputSinceTheCancelledCallWasSent() throws Exception {
    start(0, 0);
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), callFrame(0));
      cancel(0);
      assertEquals(readFrame(first), cancelFrame(0));
      assertEquals(first.getInputStream().read(), -1);
      start(1, 0);
      try (Socket second = server.accept()) {
        assertEquals(readFrame(second), callFrame(1));
      }
    }
  }

  /** If a connection ends right after an answer, no other call is lost with it. */
  @Test
  public void opensAConnectionForEachCallInFlightByDefault() throws Exception {
    useSlotServers(builder().buildWithDefaultCallsPerConnection());
    start(0, 0);
    start(1, 0);
    try (Socket first = server.accept();
        Socket second = server.accept()) {
      List<String> calls = List.of(readFrame(first), readFrame(second));
      assertTrue(calls.containsAll(List.of(callFrame(0), callFrame(1))), calls.toString());
      sendResult(first, calls.indexOf(callFrame(0)) == 0 ? 0 : 1);
      outcomes(1);
      start(2, 0);
      assertEquals(readFrame(first), callFrame(2), "over the connection that is idle again");
    }
  }

  /**
   * The descriptor of the closed connection counts as free at once, not only when the close is
   * reported back.
   */
  @Test
  public void closesAnIdleConnectionAtTheLimitToConnectToAnotherServer() throws Exception {
    useSlotServers(builder().maxConnections(1).buildWithDefaultCallsPerConnection());
    InetAddress otherAddress = InetAddress.getByAddress(new byte[] {127, 0, 0, 2});
    try (ServerSocket other = new ServerSocket(0, 5, otherAddress)) {
      loop.execute(() -> servers.setAddress("t", new HostPort("127.0.0.2", other.getLocalPort())));
      start(0, 0);
      try (Socket first = server.accept()) {
        assertEquals(readFrame(first), callFrame(0));
        sendResult(first, 0);
        outcomes(1);
        loop.execute(
            () ->
                servers.start(new Effect.StartAttempt(new AttemptId(1, 0), request, 1, "t", 2000)));
        try (Socket second = other.accept()) {
          assertEquals(readFrame(second), callFrame(1));
          assertEquals(first.getInputStream().read(), -1);
        }
      }
      assertEquals(outcomes(2), List.of("0 OK", "1 RESET"));
    }
  }

  @Test
  public void sendsTheFirstPartOverAPrewarmedConnection() throws Exception {
    loop.execute(() -> servers.prewarm("s"));
    try (Socket socket = server.accept()) {
      loop.execute(() -> servers.prewarm("s"));
      start(0, 0);
      assertEquals(readFrame(socket), callFrame(0));
      server.setSoTimeout(1);
      assertThrows(SocketTimeoutException.class, () -> server.accept());
    }
    outcomes(1);
    loop.execute(() -> servers.prewarm("unknown"));
    assertEquals(outcomes(1), List.of("0 RESET"));
  }

  @Test
  public void closesTheConnectionsOfAForgottenServerOnceTheirPartsHaveEnded() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      loop.execute(() -> servers.removeServer("s"));
      sendResult(socket, 0);
      assertEquals(outcomes(1), List.of("0 OK"), "a part in flight is awaited");
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  /** A call must not be sent while the server closes the idle connection. */
  @Test
  public void doesNotUseAConnectionIdleForTooLongBeforeTheIdleCheck() throws Exception {
    double[] now = {0};
    useSlotServers(builder().clock(() -> now[0]).keepAliveMs(1000).build());
    start(0, 0);
    try (Socket idle = server.accept()) {
      assertEquals(readFrame(idle), callFrame(0));
      sendResult(idle, 0);
      assertEquals(outcomes(1), List.of("0 OK"));
      loop.execute(() -> now[0] = 801);
      start(1, 0);
      try (Socket fresh = server.accept()) {
        assertEquals(readFrame(fresh), callFrame(1));
        assertEquals(idle.getInputStream().read(), -1, "no byte was sent over the idle connection");
      }
    }
  }

  /** A server that accepts no more connections must not be treated as down or restarted. */
  @Test
  public void movesCallsOfARefusedConnectionToAnEstablishedOne() throws Exception {
    for (int part = 0; part < 4; part++) {
      start(part, 0);
    }
    try (Socket first = server.accept()) {
      for (int part = 0; part < 4; part++) {
        assertEquals(readFrame(first), callFrame(part));
      }
      server.close();
      start(4, 0);
      assertEquals(readFrame(first), callFrame(4));
      start(5, 0);
      assertEquals(readFrame(first), callFrame(5));
      sendResult(first, 4);
      assertEquals(outcomes(1), List.of("4 OK"));
    }
    awaitEvents(6);
    start(6, 0);
    awaitEvents(7);
    assertTrue(
        events.contains(
            new Event.AttemptEnded(new AttemptId(6, 0), Router.Outcome.UNREACHABLE, null)),
        "without an established connection, a refusal ends the attempt");
  }
}
