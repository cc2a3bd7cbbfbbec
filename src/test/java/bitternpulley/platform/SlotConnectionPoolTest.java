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

/** Which connection carries a call, and which connections are opened and closed. */
public class SlotConnectionPoolTest extends SlotServersHarness {

  @Test
  public void retriesACancelledPartOverAnotherConnection() throws Exception {
    start(0, 0);
    start(2, 0);
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), call(0));
      assertEquals(readFrame(first), call(2));
      answer(first, 2);
      assertEquals(outcomes(1), List.of("2 OK"));
      cancel(0);
      assertEquals(readFrame(first), cancellation(0));
      start(0, 1);
      try (Socket second = server.accept()) {
        assertEquals(readFrame(second), call(0));
        start(1, 0);
        assertEquals(readFrame(first), call(1), "other parts still share the first");
      }
    }
  }

  /** Such a connection may have died silently. */
  @Test
  public void retiresAConnectionWithoutInputSinceACancelledPartWasSent() throws Exception {
    start(0, 0);
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), call(0));
      cancel(0);
      assertEquals(readFrame(first), cancellation(0));
      assertEquals(first.getInputStream().read(), -1);
      start(1, 0);
      try (Socket second = server.accept()) {
        assertEquals(readFrame(second), call(1));
      }
    }
  }

  /** A connection that ends right after an answer then takes no other call with it. */
  @Test
  public void opensAConnectionForEachCallInFlightByDefault() throws Exception {
    use(builder().buildWithDefaultCallsPerConnection());
    start(0, 0);
    start(1, 0);
    try (Socket first = server.accept();
        Socket second = server.accept()) {
      List<String> calls = List.of(readFrame(first), readFrame(second));
      assertTrue(calls.containsAll(List.of(call(0), call(1))), calls.toString());
      answer(first, calls.indexOf(call(0)) == 0 ? 0 : 1);
      outcomes(1);
      start(2, 0);
      assertEquals(readFrame(first), call(2), "over the one that is free again");
    }
  }

  /** Its descriptor counts as free at once, not only when its end is reported. */
  @Test
  public void closesAnIdleConnectionToConnectToAnotherServer() throws Exception {
    use(builder().maxConnections(1).buildWithDefaultCallsPerConnection());
    InetAddress otherAddress = InetAddress.getByAddress(new byte[] {127, 0, 0, 2});
    try (ServerSocket other = new ServerSocket(0, 5, otherAddress)) {
      loop.execute(() -> servers.setAddress("t", new HostPort("127.0.0.2", other.getLocalPort())));
      start(0, 0);
      try (Socket first = server.accept()) {
        assertEquals(readFrame(first), call(0));
        answer(first, 0);
        outcomes(1);
        loop.execute(
            () ->
                servers.start(new Effect.StartAttempt(new AttemptId(1, 0), request, 1, "t", 2000)));
        try (Socket second = other.accept()) {
          assertEquals(readFrame(second), call(1));
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
      assertEquals(readFrame(socket), call(0));
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
      assertEquals(readFrame(socket), call(0));
      loop.execute(() -> servers.forget("s"));
      answer(socket, 0);
      assertEquals(outcomes(1), List.of("0 OK"), "what is in flight is awaited");
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  /** A call must not cross the server's own close of such a connection. */
  @Test
  public void sendsNothingOverAConnectionIdleTooLongBeforeTheIdleCheck() throws Exception {
    double[] now = {0};
    use(builder().clock(() -> now[0]).keepAliveMs(1000).build());
    start(0, 0);
    try (Socket idle = server.accept()) {
      assertEquals(readFrame(idle), call(0));
      answer(idle, 0);
      assertEquals(outcomes(1), List.of("0 OK"));
      loop.execute(() -> now[0] = 801);
      start(1, 0);
      try (Socket fresh = server.accept()) {
        assertEquals(readFrame(fresh), call(1));
        assertEquals(idle.getInputStream().read(), -1, "not a byte of it");
      }
    }
  }

  /** A server that accepts no more connections must not count as down or restarted. */
  @Test
  public void movesCallsOfARefusedConnectionToOneThatIsUp() throws Exception {
    for (int part = 0; part < 4; part++) {
      start(part, 0);
    }
    try (Socket first = server.accept()) {
      for (int part = 0; part < 4; part++) {
        assertEquals(readFrame(first), call(part));
      }
      server.close();
      start(4, 0);
      assertEquals(readFrame(first), call(4));
      start(5, 0);
      assertEquals(readFrame(first), call(5));
      answer(first, 4);
      assertEquals(outcomes(1), List.of("4 OK"));
    }
    awaitEvents(6);
    start(6, 0);
    awaitEvents(7);
    assertTrue(
        events.contains(
            new Event.AttemptEnded(new AttemptId(6, 0), Router.Outcome.UNREACHABLE, null)),
        "with none up a refusal is one");
  }
}
