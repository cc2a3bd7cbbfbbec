package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * What is still owed at the instant in which a client's connection ends. Crossings are forced by
 * holding the loop's turn: what the test writes meanwhile lies in the sockets when the server does
 * what ends the connection.
 */
public class HttpEndingsTest implements HttpServer.Handler {
  private static final int PATIENCE_MS = 30_000;

  /** More than one read takes, so that bytes lie unread when the connection ends. */
  private static final String LONG = request("/long", "x".repeat(40_000));

  private final List<String> handled = new CopyOnWriteArrayList<>();
  private final List<HttpServer.Exchange> open = new CopyOnWriteArrayList<>();
  private final AtomicInteger gone = new AtomicInteger();
  private EventLoop loop;
  private HttpServer server;
  private HostPort at;

  @BeforeMethod
  public void begin() throws IOException {
    handled.clear();
    open.clear();
    gone.set(0);
    listen(1000, HttpServer.Timeouts.USUAL);
  }

  private void listen(int connections, HttpServer.Timeouts timeouts) throws IOException {
    loop = new EventLoop();
    server = new HttpServer(loop, 64 * 1024, connections, timeouts, this);
    at = server.listen(new HostPort("127.0.0.1", 0));
  }

  /** Holds what asks for it; all else is answered at once. */
  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    handled.add(request.head().target());
    if (request.head().target().startsWith("/held")) {
      exchange.onGone(gone::incrementAndGet);
      open.add(exchange);
    } else {
      exchange.reply(unusable(200, "fine"));
    }
  }

  @Override
  public HttpServer.Response unusable(int status, String reason) {
    return new HttpServer.Response(status, Map.of(), reason.getBytes(StandardCharsets.UTF_8));
  }

  private static String request(String target, String body) {
    return "POST " + target + " HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private Socket connect(String text) throws IOException {
    Socket socket = new Socket(at.host(), at.port());
    socket.setSoTimeout(PATIENCE_MS);
    write(socket, text);
    return socket;
  }

  private static void write(Socket to, String text) throws IOException {
    to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String line(Socket from) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = from.getInputStream().read();
        b >= 0 && b != '\n';
        b = from.getInputStream().read()) {
      line.append((char) b);
    }
    return line.toString().strip();
  }

  /** Reads one answer whose body is short; tells its status. */
  private static int status(Socket from) throws IOException {
    String first = line(from);
    assertTrue(first.startsWith("HTTP/1.1 "), "instead of an answer: '" + first + "'");
    int status = Integer.parseInt(first.split(" ")[1]);
    int length = 0;
    for (String l = line(from); !l.isEmpty(); l = line(from)) {
      length = l.startsWith("Content-Length: ") ? Integer.parseInt(l.substring(16)) : length;
    }
    from.getInputStream().readNBytes(length);
    return status;
  }

  private static void await(String what, BooleanSupplier holds) throws InterruptedException {
    long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (!holds.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, what);
      Thread.sleep(1);
    }
  }

  private interface Crossing {
    void happens() throws IOException;
  }

  /** Nothing is read or written by the server while this happens. */
  private void inOneTurn(Crossing crossing) throws IOException {
    IOException[] failure = new IOException[1];
    loop.inTurn(
        () -> {
          try {
            crossing.happens();
          } catch (IOException e) {
            failure[0] = e;
          }
        });
    if (failure[0] != null) {
      throw failure[0];
    }
  }

  private void clientsLeave(int clients, String behind, boolean reset) throws Exception {
    List<Socket> all = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      all.add(connect(request("/held", "") + behind));
    }
    await("all under way", () -> open.size() == clients);
    for (Socket s : all) {
      s.setSoLinger(reset, 0);
      s.close();
    }
    await("each end is told", () -> gone.get() == clients);
    assertEquals(handled.size(), clients, "nothing of what was sent ahead is taken up");
  }

  @Test
  public void aClientThatLeavesIsNoticed() throws Exception {
    clientsLeave(1, "", false);
  }

  @Test
  public void aClientThatLeavesWithAResetIsNoticed() throws Exception {
    clientsLeave(1, request("/ahead", ""), true);
  }

  @Test
  public void twoHundredThatLeaveTogetherAreNoticed() throws Exception {
    clientsLeave(200, "", false);
  }

  /** Guards against a client that sent more ahead and whose end lies unread behind that. */
  @Test
  public void aClientThatSentAheadAndLeavesIsNoticed() throws Exception {
    clientsLeave(3, request("/ahead", "x").repeat(1000), false);
  }

  /** The same where more was sent ahead than is kept. */
  @Test
  public void aClientThatSentFarTooMuchAheadAndLeavesIsNoticed() throws Exception {
    clientsLeave(2, request("/ahead", "x".repeat(1000)).repeat(2000), false);
  }

  @Test
  public void whatIsSentAheadIsAnsweredInTurnAndTooMuchOfItIsTold() throws Exception {
    // Far more than the machine holds unread: once it is written, the server has read more than it
    // keeps.
    int sent = 400;
    try (Socket client = connect(request("/held", ""))) {
      await("under way", () -> open.size() == 1);
      write(client, request("/ahead", "x".repeat(60_000)).repeat(sent));
      loop.execute(() -> open.get(0).reply(unusable(200, "at last")));
      assertEquals(status(client), 200);
      int answered = 0;
      int last = status(client);
      while (last == 200) {
        answered++;
        last = status(client);
      }
      assertEquals(last, 413, "after " + answered);
      assertEquals(answered, 4, "as many as are kept");
      assertEquals(client.getInputStream().read(), -1);
    }
  }

  /**
   * Guards against a request whose client left before it was read: it is not to be begun at all.
   */
  @SuppressWarnings("try") // the early close is the disconnect under test
  @Test
  public void aRequestThatIsReadWithItsClientsEndBehindItIsNotTakenUp() throws Exception {
    try (Socket first = connect(request("/first", ""))) {
      assertEquals(status(first), 200);
      inOneTurn(
          () -> {
            write(first, request("/left", ""));
            first.close();
          });
    }
    try (Socket next = connect(request("/next", ""))) {
      assertEquals(status(next), 200);
    }
    assertEquals(handled, List.of("/first", "/next"));
  }

  private void aRequestCrossesTheEnd(Crossing end) throws Exception {
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(status(client), 200);
      inOneTurn(
          () -> {
            write(client, LONG);
            end.happens();
          });
      assertEquals(client.getInputStream().read(), -1, "an orderly end, with no byte of an answer");
    }
    assertEquals(handled, List.of("/first"), "nothing is taken from behind our end");
  }

  @Test
  public void aRequestThatCrossesTheEndOfARestingConnectionSeesNoReset() throws Exception {
    aRequestCrossesTheEnd(
        () -> {
          server.drain();
          server.stopListening();
        });
  }

  @Test
  public void aRequestSentJustBeforeTheEndIsAnsweredWhole() throws Exception {
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(status(client), 200);
      write(client, request("/held", ""));
      await("it is read", () -> open.size() == 1);
      inOneTurn(
          () -> {
            server.drain();
            server.stopListening();
            open.get(0).reply(unusable(200, "fine"));
          });
      assertEquals(status(client), 200);
      assertEquals(client.getInputStream().read(), -1);
    }
  }

  /**
   * Guards against clients that the machine has accepted and the program has not, when it stops
   * taking more.
   */
  @Test
  public void whoeverWaitsToBeAcceptedIsServedBeforeTheListenerCloses() throws Exception {
    List<Socket> clients = new ArrayList<>();
    inOneTurn(
        () -> {
          for (int i = 0; i < 20; i++) {
            clients.add(connect(request("/late", "")));
          }
          server.drain();
          server.stopListening();
        });
    for (Socket s : clients) {
      assertEquals(status(s), 200);
      assertEquals(s.getInputStream().read(), -1);
      s.close();
    }
    await("nothing is owed any more", () -> busy() == 0);
  }

  /** Guards against a client that has connected, and whose first request is on its way. */
  @Test
  public void aFreshConnectionMayStillAskOnceNoMoreAreTaken() throws Exception {
    try (Socket other = connect(request("/other", ""));
        Socket fresh = connect("")) {
      assertEquals(status(other), 200);
      try (Socket behind = connect(request("/behind", ""))) {
        assertEquals(status(behind), 200, "so the fresh one was accepted before");
        inOneTurn(
            () -> {
              server.drain();
              server.stopListening();
              write(fresh, request("/fresh", ""));
            });
        assertEquals(status(fresh), 200);
      }
    }
  }

  /**
   * Guards against a program that ends, and resets the connection of a client which is still
   * reading its answer.
   */
  @Test
  public void somethingIsOwedUntilTheClientHasEndedItsSide() throws Exception {
    try (Socket client = connect(request("/held", ""))) {
      await("under way", () -> open.size() == 1);
      inOneTurn(
          () -> {
            server.drain();
            server.stopListening();
            open.get(0).reply(unusable(200, "fine"));
          });
      await("no more are taken", () -> !accepts());
      assertEquals(busy(), 1, "its client has not read it yet");
      assertEquals(status(client), 200);
      assertEquals(client.getInputStream().read(), -1);
    }
    await("its client has left", () -> busy() == 0);
  }

  /**
   * Guards against a request that ends so late that the platform ends the program before its
   * answer.
   */
  @Test
  public void aRequestThatIsHalfReadWhenNoMoreAreTakenIsToldSo() throws Exception {
    try (Socket client = connect(LONG.substring(0, 20_000))) {
      await("it is begun", () -> busy() == 2);
      inOneTurn(
          () -> {
            server.drain();
            server.stopListening();
          });
      assertEquals(status(client), 503);
      assertEquals(client.getInputStream().read(), -1);
    }
    assertEquals(handled, List.of());
  }

  /** The whole answer or an orderly end; never a reset, and nothing is sent on behind our end. */
  private void answeredWholeOrEndedInOrder(Socket client, String target) throws IOException {
    int first = client.getInputStream().read();
    assertEquals(
        first < 0 ? 0 : handled.stream().filter(target::equals).count(), first < 0 ? 0 : 1);
    assertEquals(handled.contains(target), first >= 0, "taken, and its client has " + first);
    if (first >= 0) {
      assertEquals(line(client), "TTP/1.1 200 OK");
    }
  }

  /**
   * Ends while the turn is held till they are due: sweep and request race for the next turn, and
   * each order is good.
   */
  @Test(invocationCount = 20)
  public void aRequestThatCrossesTheIdleTimeOutIsAnsweredOrSeesAnOrderlyEnd() throws Exception {
    listen(1000, new HttpServer.Timeouts(2000, 2200, 20));
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(status(client), 200);
      double from = loop.now();
      inOneTurn(
          () -> {
            while (loop.now() < from + 30) {
              Thread.onSpinWait();
            }
            write(client, LONG);
          });
      answeredWholeOrEndedInOrder(client, "/long");
    }
  }

  /** The one longest idle makes room for a newcomer as its next request lies in the socket. */
  @Test(invocationCount = 5)
  public void aRequestThatCrossesItsConnectionsMakingRoomIsAnsweredOrSeesAnOrderlyEnd()
      throws Exception {
    int places = 16;
    listen(places, HttpServer.Timeouts.USUAL);
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < places - 2; i++) {
      clients.add(connect(request("/first" + i, "")));
      assertEquals(status(clients.get(i)), 200);
    }
    inOneTurn(
        () -> {
          write(clients.get(0), LONG);
          clients.add(connect(request("/newcomer", "")));
        });
    answeredWholeOrEndedInOrder(clients.get(0), "/long");
    Socket newcomer = clients.get(clients.size() - 1);
    assertEquals(status(newcomer), 200);
    for (Socket s : clients) {
      s.close();
    }
  }

  @Test
  public void aRequestThatCrossesTheEndOfAQuiescedServersConnectionIsAnsweredOrSeesAnOrderlyEnd()
      throws Exception {
    try (Socket client = connect(request("/first", ""))) {
      assertEquals(status(client), 200);
      loop.execute(() -> server.quiesce(true));
      // Written the moment its end is seen, or before: as its client would that knows of none.
      assertEquals(client.getInputStream().read(), -1);
      write(client, request("/behind", ""));
    }
    try (Socket other = connect(request("/other", ""))) {
      assertEquals(status(other), 200);
      assertEquals(other.getInputStream().read(), -1, "its answer ends it");
    }
    assertEquals(handled, List.of("/first", "/other"), "nothing is taken from behind our end");
  }

  /**
   * Guards against an answer that is destroyed by a reset, as what its client sent meanwhile lies
   * unread at the close.
   */
  @Test
  public void anAnswerThatEndsItsConnectionArrivesWholeWhateverIsSentBehind() throws Exception {
    try (Socket client = connect(request("/held", ""))) {
      await("under way", () -> open.size() == 1);
      inOneTurn(
          () -> {
            server.drain();
            write(client, LONG);
            open.get(0)
                .reply(
                    new HttpServer.Response(
                        200, Map.of(), "y".repeat(60_000).getBytes(StandardCharsets.US_ASCII)));
            write(client, LONG);
          });
      assertEquals(status(client), 200);
      assertEquals(client.getInputStream().read(), -1);
    }
    assertEquals(handled, List.of("/held"));
  }

  /** Guards against an alarm that fires in the turn in which its client left or was answered. */
  @Test
  public void aSecondAnswerAndOneToWhoHasLeftChangeNothing() throws Exception {
    try (Socket client = connect(request("/held", ""))) {
      await("under way", () -> open.size() == 1);
      inOneTurn(
          () -> {
            open.get(0).reply(unusable(200, "one"));
            open.get(0).reply(unusable(500, "two"));
          });
      assertEquals(status(client), 200);
      write(client, request("/held2", ""));
      await("under way", () -> open.size() == 2);
    }
    await("its end is told", () -> gone.get() == 1);
    loop.execute(() -> open.get(1).reply(unusable(200, "late")));
    try (Socket next = connect(request("/next", ""))) {
      assertEquals(status(next), 200);
    }
  }

  /** Guards against one client that does not read and holds up the rest. */
  @Test
  public void aClientThatDoesNotReadDelaysNobody() throws Exception {
    try (Socket deaf = new Socket()) {
      deaf.setReceiveBufferSize(2048);
      deaf.connect(new java.net.InetSocketAddress(at.host(), at.port()));
      write(deaf, request("/held", ""));
      await("under way", () -> open.size() == 1);
      byte[] much = new byte[900_000];
      loop.execute(() -> open.get(0).reply(new HttpServer.Response(200, Map.of(), much)));
      for (int i = 0; i < 50; i++) {
        try (Socket other = connect(request("/other", ""))) {
          assertEquals(status(other), 200);
        }
      }
    }
  }

  /** What is held back waits with the machine, and is served once it is let in. */
  @Test
  public void clientsThatAreHeldBackAreServedOnceTheyAreLetIn() throws Exception {
    loop = new EventLoop();
    server = new HttpServer(loop, 64 * 1024, 100, HttpServer.Timeouts.USUAL, this);
    server.holdBack();
    at = server.listen(new HostPort("127.0.0.1", 0));
    try (Socket client = connect(request("/early", ""))) {
      loop.inTurn(() -> assertEquals(handled, List.of()));
      loop.execute(server::letIn);
      assertEquals(status(client), 200);
    }
  }

  private int busy() {
    int[] count = new int[1];
    loop.inTurn(() -> count[0] = server.busy());
    return count[0];
  }

  @SuppressWarnings("try") // the connection itself is under test
  private boolean accepts() {
    try (Socket probe = new Socket(at.host(), at.port())) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
