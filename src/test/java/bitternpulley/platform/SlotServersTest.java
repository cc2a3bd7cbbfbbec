package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.Request;
import bitternpulley.config.Configuration;
import bitternpulley.net.EventLoop;
import bitternpulley.net.FrameCodec;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Router;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Connections to one slot server, whose side the test plays. */
public class SlotServersTest {
  private static final int PATIENCE_MS = 30_000;

  private static String frame(Socket from) throws IOException {
    from.setSoTimeout(PATIENCE_MS);
    DataInputStream in = new DataInputStream(from.getInputStream());
    return new String(in.readNBytes(Integer.reverseBytes(in.readInt())));
  }

  /** Each test has its own: the end of a connection may be told after the test that left it. */
  private List<Event> events;

  private EventLoop loop;
  private SlotServers servers;
  private ServerSocket server;
  private Request request;

  @BeforeMethod
  public void listen() throws IOException {
    events = new CopyOnWriteArrayList<>();
    loop = new EventLoop();
    servers =
        new SlotServers(
            loop,
            events::add,
            Clock.system(),
            new Configuration.ConnectionSettings(100, 15_000, false),
            5000,
            10,
            4);
    List<Request.QueryPart> slices =
        IntStream.range(0, 9).mapToObj(i -> new Request.QueryPart(i, 0.1, 0)).toList();
    request =
        new Request(
            1,
            servers,
            0,
            3000,
            false,
            Router.Terms.CLASS_DEFAULT,
            slices,
            new PlatformQuery("q", 0, 3000, false, null, "f", slices, null));
    server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
    server.setSoTimeout(PATIENCE_MS);
    loop.execute(() -> servers.address("s", new HostPort("127.0.0.1", server.getLocalPort())));
  }

  @AfterMethod
  public void close() throws IOException {
    server.close();
  }

  private void start(int part, int attempt) {
    loop.execute(
        () ->
            servers.start(
                new Effect.StartAttempt(new AttemptId(part, attempt), request, part, "s", 2000)));
  }

  private static String call(int part) {
    return "1q." + part + " " + part + " d=2000 1\nf";
  }

  private static byte[] answer(int part, String value) {
    return FrameCodec.encode('5', ("q." + part + " S 7 -\n" + value).getBytes()).array();
  }

  private void await(int count) throws InterruptedException {
    long end = System.currentTimeMillis() + PATIENCE_MS;
    while (events.size() < count && System.currentTimeMillis() < end) {
      Thread.sleep(1);
    }
  }

  private List<String> outcomes(int count) throws InterruptedException {
    await(count);
    return events.stream()
        .map(e -> (Event.AttemptEnded) e)
        .map(e -> e.attempt().part() + " " + e.outcome())
        .sorted()
        .toList();
  }

  @Test
  public void aPartGivenUpOnAConnectionIsSentAnewOverAnother() throws Exception {
    start(0, 0);
    start(2, 0);
    try (Socket first = server.accept()) {
      assertEquals(frame(first), call(0));
      assertEquals(frame(first), call(2));
      first.getOutputStream().write(answer(2, "00000000000000aa"));
      assertEquals(outcomes(1), List.of("2 OK"));
      loop.execute(
          () -> servers.cancel(new Effect.CancelAttempt(new AttemptId(0, 0), request, "s")));
      assertEquals(frame(first), "2q.0");
      start(0, 1);
      try (Socket second = server.accept()) {
        assertEquals(frame(second), call(0));
        start(1, 0);
        assertEquals(frame(first), call(1), "other parts still share the first");
      }
    }
  }

  /**
   * Guards against a repeat that waits for a connection until its window is over, and goes when
   * that comes up.
   */
  @Test
  public void whatIsTooLateWhenItsConnectionComesUpEndsUnsent() throws Exception {
    double[] now = {0};
    servers =
        new SlotServers(
            loop,
            events::add,
            () -> now[0],
            new Configuration.ConnectionSettings(100, 15_000, false),
            5000,
            10,
            4);
    loop.execute(
        () -> {
          servers.address("s", new HostPort("127.0.0.1", server.getLocalPort()));
          servers.start(new Effect.StartAttempt(new AttemptId(0, 1), request, 0, "s", 2000, 0));
          now[0] = 1; // before it can come up
          servers.start(new Effect.StartAttempt(new AttemptId(1, 0), request, 1, "s", 2000));
        });
    try (Socket first = server.accept()) {
      assertEquals(frame(first), call(1), "the first thing that goes over it");
      assertEquals(outcomes(1), List.of("0 NOT_SENT"));
      start(0, 2);
      assertEquals(frame(first), call(0), "its name has not been used there");
    }
  }

  /** Guards against a connection that died without a word and takes in one part after another. */
  @Test
  public void aConnectionThatSaidNothingSinceAPartGivenUpIsLeft() throws IOException {
    start(0, 0);
    try (Socket first = server.accept()) {
      assertEquals(frame(first), call(0));
      loop.execute(
          () -> servers.cancel(new Effect.CancelAttempt(new AttemptId(0, 0), request, "s")));
      assertEquals(frame(first), "2q.0");
      assertEquals(first.getInputStream().read(), -1);
      start(1, 0);
      try (Socket second = server.accept()) {
        assertEquals(frame(second), call(1));
      }
    }
  }

  /**
   * Guards against parts whose end is never told, since their connection was left before it broke.
   */
  @Test
  public void whatIsOutOnAConnectionThatWasLeftEndsWithIt() throws Exception {
    start(0, 0);
    start(1, 0);
    try (Socket first = server.accept()) {
      assertEquals(frame(first), call(0));
      assertEquals(frame(first), call(1));
      loop.execute(
          () -> servers.cancel(new Effect.CancelAttempt(new AttemptId(0, 0), request, "s")));
      assertEquals(frame(first), "2q.0");
      await(1);
    }
    await(2);
    assertEquals(
        events,
        List.of(
            new Event.AttemptCancelled(new AttemptId(0, 0)),
            new Event.AttemptEnded(new AttemptId(1, 0), Router.Outcome.RESET, null)));
  }

  /** Guards against a connection that ends right after an answer and takes another part along. */
  @Test
  public void asARuleAPartHasAConnectionOfItsOwn() throws Exception {
    servers =
        new SlotServers(
            loop,
            events::add,
            Clock.system(),
            new Configuration.ConnectionSettings(100, 15_000, false),
            5000,
            10);
    loop.execute(() -> servers.address("s", new HostPort("127.0.0.1", server.getLocalPort())));
    start(0, 0);
    start(1, 0);
    try (Socket first = server.accept();
        Socket second = server.accept()) {
      List<String> calls = List.of(frame(first), frame(second));
      assertTrue(calls.containsAll(List.of(call(0), call(1))), calls.toString());
      first
          .getOutputStream()
          .write(answer(calls.indexOf(call(0)) == 0 ? 0 : 1, "00000000000000aa"));
      outcomes(1);
      start(2, 0);
      assertEquals(frame(first), call(2), "over the one that is free again");
    }
  }

  /**
   * Guards against a server that counts as down since the end of an idle connection that made room
   * was not told yet.
   */
  @Test
  public void anIdleConnectionMakesRoomAtOnce() throws Exception {
    servers =
        new SlotServers(
            loop,
            events::add,
            Clock.system(),
            new Configuration.ConnectionSettings(100, 15_000, false),
            5000,
            1);
    try (ServerSocket other = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.2"))) {
      loop.execute(() -> servers.address("s", new HostPort("127.0.0.1", server.getLocalPort())));
      loop.execute(() -> servers.address("t", new HostPort("127.0.0.2", other.getLocalPort())));
      start(0, 0);
      try (Socket first = server.accept()) {
        assertEquals(frame(first), call(0));
        first.getOutputStream().write(answer(0, "00000000000000aa"));
        outcomes(1);
        loop.execute(
            () ->
                servers.start(new Effect.StartAttempt(new AttemptId(1, 0), request, 1, "t", 2000)));
        try (Socket second = other.accept()) {
          assertEquals(frame(second), call(1));
          assertEquals(first.getInputStream().read(), -1);
        }
      }
      assertEquals(outcomes(2), List.of("0 OK", "1 RESET"));
    }
  }

  /**
   * Guards against one spoilt answer that blames a server for all that was out on its connection.
   */
  @Test
  public void aSpoiltAnswerFailsItsOwnPartAndTakesTheOthersBack() throws Exception {
    start(0, 0);
    start(1, 0);
    start(2, 0);
    try (Socket socket = server.accept()) {
      for (int i = 0; i < 3; i++) {
        assertEquals(frame(socket), call(i));
      }
      byte[] good = answer(2, "00000000000000aa");
      byte[] bad = FrameCodec.encode('5', "q.1 ? 7 -\n00000000000000aa".getBytes()).array();
      socket
          .getOutputStream()
          .write(ByteBuffer.allocate(good.length + bad.length).put(good).put(bad).array());
      assertEquals(outcomes(3), List.of("0 CANCELLED", "1 ERROR", "2 OK"));
      assertEquals(socket.getInputStream().read(), -1, "the connection is of no further use");
    }
  }

  /**
   * Guards against a value cut short by its length, whose rest looks like noise behind a good
   * answer.
   */
  @Test
  public void whatFollowsAnAnswerSpoilsOnlyOneCutShort() throws Exception {
    for (int part = 0; part < 2; part++) {
      start(part, 0);
      try (Socket socket = server.accept()) {
        assertEquals(frame(socket), call(part));
        byte[] answer = answer(part, part == 0 ? "00000000000000aa" : "000000000");
        socket
            .getOutputStream()
            .write(
                ByteBuffer.allocate(answer.length + 7)
                    .put(answer)
                    .put("0000bad".getBytes())
                    .array());
        outcomes(part + 1);
        assertEquals(socket.getInputStream().read(), -1);
      }
    }
    assertEquals(outcomes(2), List.of("0 OK", "1 ERROR"));
  }

  @Test
  public void aSecondCopyOfAnAnswerIsPassedOver() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(frame(socket), call(0));
      socket.getOutputStream().write(answer(0, "00000000000000aa"));
      assertEquals(outcomes(1), List.of("0 OK"));
      start(1, 0);
      assertEquals(frame(socket), call(1), "over the same connection");
      socket.getOutputStream().write(answer(0, "00000000000000aa"));
      socket.getOutputStream().write(answer(1, "00000000000000bb"));
      assertEquals(outcomes(2), List.of("0 OK", "1 OK"));
    }
  }

  /**
   * Guards against a part sent before a drain was told that goes out after it, once its connection
   * has come up.
   */
  @Test
  public void whatWaitsForAConnectionIsTakenBack() throws Exception {
    // In one turn, so that the connection has no chance to come up in between.
    loop.execute(
        () -> {
          servers.start(new Effect.StartAttempt(new AttemptId(0, 0), request, 0, "s", 2000));
          servers.cancelUnsentTo("s");
        });
    assertEquals(outcomes(1), List.of("0 NOT_SENT"));
    start(1, 0);
    try (Socket ended = server.accept()) {
      assertEquals(ended.getInputStream().read(), -1, "not a byte of it went");
    }
    try (Socket sent = server.accept()) {
      assertEquals(frame(sent), call(1));
      loop.execute(() -> servers.cancelUnsentTo("s"));
      sent.getOutputStream().write(answer(1, "00000000000000aa"));
      assertEquals(outcomes(2), List.of("0 NOT_SENT", "1 OK"), "what has gone is awaited");
    }
  }

  /**
   * Guards against a next attempt, at a server nearby, that overtakes the word that this one is
   * given up.
   */
  @Test
  public void aPartGivenUpIsOutUntilItsWordHasHadTimeToArrive() throws Exception {
    double[] now = {0};
    servers =
        new SlotServers(
            loop,
            events::add,
            () -> now[0],
            new Configuration.ConnectionSettings(100, 15_000, false),
            5000,
            10,
            4);
    loop.execute(
        () -> {
          servers.address("s", new HostPort("127.0.0.1", server.getLocalPort()));
          servers.start(new Effect.StartAttempt(new AttemptId(0, 0), request, 0, "s", 2000));
          now[0] = 80; // the time that the connection takes to come up
        });
    try (Socket socket = server.accept()) {
      assertEquals(frame(socket), call(0));
      long before = System.nanoTime();
      loop.execute(
          () -> servers.cancel(new Effect.CancelAttempt(new AttemptId(0, 0), request, "s")));
      assertEquals(frame(socket), "2q.0", "the word goes at once");
      await(1);
      assertEquals(events, List.of(new Event.AttemptCancelled(new AttemptId(0, 0))));
      assertTrue(System.nanoTime() - before >= 80_000_000);
    }
  }

  /** Guards against a first query that has to open connections to every server of a large fleet. */
  @Test
  public void aPreparedConnectionCarriesTheFirstPart() throws Exception {
    loop.execute(() -> servers.prepare("s"));
    try (Socket socket = server.accept()) {
      loop.execute(() -> servers.prepare("s"));
      start(0, 0);
      assertEquals(frame(socket), call(0));
      server.setSoTimeout(1);
      assertThrows(SocketTimeoutException.class, () -> server.accept());
    }
    outcomes(1);
    loop.execute(() -> servers.prepare("unknown"));
    assertEquals(outcomes(1), List.of("0 RESET"));
  }

  /**
   * Guards against parts whose end is never told, since that of another on their connection had one
   * of them given up.
   */
  @Test
  public void eachPartOnAConnectionThatNeverComesUpEnds() throws Exception {
    server.close();
    servers =
        new SlotServers(
            loop,
            e -> {
              events.add(e);
              if (e instanceof Event.AttemptEnded ended && ended.attempt().part() == 0) {
                servers.cancel(new Effect.CancelAttempt(new AttemptId(1, 0), request, "s"));
              }
            },
            Clock.system(),
            new Configuration.ConnectionSettings(100, 15_000, false),
            5000,
            10,
            4);
    loop.execute(
        () -> {
          servers.address("s", new HostPort("127.0.0.1", server.getLocalPort()));
          for (int part = 0; part < 3; part++) {
            servers.start(
                new Effect.StartAttempt(new AttemptId(part, 0), request, part, "s", 2000));
          }
        });
    assertEquals(outcomes(3), List.of("0 UNREACHABLE", "1 UNREACHABLE", "2 UNREACHABLE"));
  }

  /** Guards against descriptors and memory kept for servers that are gone. */
  @Test
  public void theConnectionsOfAServerThatIsGoneAreClosed() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(frame(socket), call(0));
      loop.execute(() -> servers.forget("s"));
      socket.getOutputStream().write(answer(0, "00000000000000aa"));
      assertEquals(outcomes(1), List.of("0 OK"), "what is out is awaited");
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  /**
   * Guards against a frame that crosses the server's close of a connection that has been idle for
   * too long.
   */
  @Test
  public void aConnectionIdleForTooLongCarriesNothingMoreHoweverLateItIsLookedAt()
      throws Exception {
    double[] now = {0};
    servers =
        new SlotServers(
            loop,
            events::add,
            () -> now[0],
            new Configuration.ConnectionSettings(100, 1000, false),
            5000,
            10,
            4);
    loop.execute(() -> servers.address("s", new HostPort("127.0.0.1", server.getLocalPort())));
    start(0, 0);
    try (Socket idle = server.accept()) {
      assertEquals(frame(idle), call(0));
      idle.getOutputStream().write(answer(0, "00000000000000aa"));
      assertEquals(outcomes(1), List.of("0 OK"));
      loop.execute(() -> now[0] = 801);
      start(1, 0);
      try (Socket fresh = server.accept()) {
        assertEquals(frame(fresh), call(1));
        assertEquals(idle.getInputStream().read(), -1, "not a byte of it");
      }
    }
  }

  /** Guards against sends for nobody, where nothing that has gone may be called off. */
  @Test
  public void anAttemptIsTakenBackOnlyWhileNotAByteOfItHasGone() throws Exception {
    loop.execute(
        () -> {
          servers.start(new Effect.StartAttempt(new AttemptId(0, 0), request, 0, "s", 2000));
          servers.cancelUnsent(new Effect.CancelUnsent(new AttemptId(0, 0), request));
        });
    assertEquals(outcomes(1), List.of("0 NOT_SENT"));
    start(1, 0);
    try (Socket socket = server.accept()) {
      assertEquals(
          frame(socket), call(1), "over the connection that has come up, and nothing of the other");
      loop.execute(
          () -> servers.cancelUnsent(new Effect.CancelUnsent(new AttemptId(1, 0), request)));
      socket.getOutputStream().write(answer(1, "00000000000000aa"));
      assertEquals(outcomes(2), List.of("0 NOT_SENT", "1 OK"));
    }
  }

  /**
   * Guards against parts that go out over a connection that comes up late, when they were called
   * off or withdrawn before.
   */
  @Test
  public void aConnectionThatComesUpLateCarriesNothingThatWasCalledOffBefore() throws Exception {
    try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      busy.setSoTimeout(PATIENCE_MS);
      List<Socket> before = new java.util.ArrayList<>();
      try {
        for (int i = 0;
            i < 16;
            i++) { // until the machine holds no more of them: the next comes up late
          Socket s = new Socket();
          before.add(s);
          s.connect(busy.getLocalSocketAddress(), 200);
        }
        throw new AssertionError("the machine holds them all");
      } catch (SocketTimeoutException e) {
        before.remove(before.size() - 1).close();
      }
      loop.execute(() -> servers.address("s", new HostPort("127.0.0.1", busy.getLocalPort())));
      start(0, 0);
      start(1, 0);
      loop.execute(
          () -> servers.cancel(new Effect.CancelAttempt(new AttemptId(0, 0), request, "s")));
      await(1);
      assertEquals(
          events,
          List.of(new Event.AttemptCancelled(new AttemptId(0, 0))),
          "at once: it was never sent");
      for (Socket s : before) {
        busy.accept().close();
        s.close();
      }
      try (Socket late = busy.accept()) {
        assertEquals(frame(late), call(1), "and only that");
        late.getOutputStream().write(answer(1, "00000000000000aa"));
        await(2);
        loop.execute(() -> servers.forget("s"));
        assertEquals(late.getInputStream().read(), -1);
      }
    }
  }

  /** Guards against an answer that has begun and never ends, and takes the time of its part. */
  @Test
  public void halfAnAnswerAndThenSilenceIsAFailedAttempt() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(frame(socket), call(0));
      socket.getOutputStream().write(answer(0, "00000000000000aa"), 0, 9);
      assertEquals(outcomes(1), List.of("0 ERROR"));
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  /** Guards against an answer that was cut off by a reset and counts as never run, or as whole. */
  @Test
  public void aResetUnderABegunAnswerMayHaveRunAndEndsEachPartOnce() throws Exception {
    start(0, 0);
    start(1, 0);
    try (Socket socket = server.accept()) {
      assertEquals(frame(socket), call(0));
      assertEquals(frame(socket), call(1));
      socket.getOutputStream().write(answer(0, "00000000000000aa"), 0, 9);
      socket.setSoLinger(true, 0);
    }
    assertEquals(outcomes(2), List.of("0 RESET", "1 RESET"));
  }

  @Test
  public void aFrameThatItsServerCannotUseIsAFailedAttempt() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(frame(socket), call(0));
      socket.getOutputStream().write(FrameCodec.encode('X', "what is this".getBytes()).array());
      assertEquals(outcomes(1), List.of("0 ERROR"));
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  /**
   * Guards against a value that comes after its part was given up and is taken for something, or
   * harms another part.
   */
  @Test
  public void aValueAfterItsCancelHarmsNoOther() throws Exception {
    start(0, 0);
    start(1, 0);
    try (Socket socket = server.accept()) {
      assertEquals(frame(socket), call(0));
      assertEquals(frame(socket), call(1));
      loop.execute(
          () -> servers.cancel(new Effect.CancelAttempt(new AttemptId(0, 0), request, "s")));
      assertEquals(frame(socket), "2q.0");
      await(1);
      assertEquals(events, List.of(new Event.AttemptCancelled(new AttemptId(0, 0))));
      socket.getOutputStream().write(answer(0, "00000000000000aa"));
      socket.getOutputStream().write(answer(1, "00000000000000bb"));
      await(2);
      assertEquals(((Event.AttemptEnded) events.get(1)).attempt(), new AttemptId(1, 0));
      assertEquals(((Event.AttemptEnded) events.get(1)).outcome(), Router.Outcome.OK);
    }
  }

  private void startTogether(Integer... parts) {
    loop.execute(
        () ->
            servers.startCall(
                List.of(parts).stream()
                    .map(p -> new Effect.StartAttempt(new AttemptId(p, 0), request, p, "s", 2000))
                    .toList()));
  }

  private static String calls(int... parts) {
    return "1"
        + IntStream.of(parts).mapToObj(p -> call(p).substring(1)).collect(Collectors.joining());
  }

  /** Guards against a server that is charged for a call by each part. */
  @Test
  public void partsSentTogetherShareAFrameAndEndOneByOne() throws Exception {
    startTogether(0, 2, 5);
    startTogether(1, 3);
    try (Socket first = server.accept()) {
      assertEquals(frame(first), calls(0, 2, 5));
      assertEquals(frame(first), calls(1, 3));
      first.getOutputStream().write(answer(2, "00000000000000aa"));
      first.getOutputStream().write(answer(3, "00000000000000aa"));
      assertEquals(outcomes(2), List.of("2 OK", "3 OK"));
      loop.execute(
          () -> servers.cancel(new Effect.CancelAttempt(new AttemptId(5, 0), request, "s")));
      assertEquals(frame(first), "2q.5", "one part of a call is given up by itself");
      first.getOutputStream().write(answer(0, "00000000000000aa"));
      await(4);
      assertTrue(events.contains(new Event.AttemptCancelled(new AttemptId(5, 0))));
      assertTrue(
          events.stream()
              .anyMatch(e -> e instanceof Event.AttemptEnded d && d.attempt().part() == 0));
    }
  }

  @Test
  public void aPartTakenBackBeforeItsCallHasGoneIsNotInItsFrame() throws Exception {
    loop.execute(
        () -> {
          servers.startCall(
              IntStream.range(0, 3)
                  .mapToObj(
                      p -> new Effect.StartAttempt(new AttemptId(p, 0), request, p, "s", 2000))
                  .toList());
          servers.cancelUnsent(new Effect.CancelUnsent(new AttemptId(1, 0), request));
        });
    try (Socket first = server.accept()) {
      assertEquals(frame(first), calls(0, 2));
      assertEquals(outcomes(1), List.of("1 NOT_SENT"));
    }
  }

  @Test
  public void eachPartOfACallOnAConnectionThatEndsMayHaveRun() throws Exception {
    startTogether(0, 1, 2);
    try (Socket first = server.accept()) {
      assertEquals(frame(first), calls(0, 1, 2));
    }
    assertEquals(outcomes(3), List.of("0 RESET", "1 RESET", "2 RESET"));
  }

  /**
   * Guards against more parts on a connection than the settings allow, where a call holds more than
   * that.
   */
  @Test
  public void aCallOfMorePartsThanAConnectionCarriesIsTakenApart() throws Exception {
    servers =
        new SlotServers(
            loop,
            events::add,
            Clock.system(),
            new Configuration.ConnectionSettings(2, 15_000, false),
            5000,
            10,
            4);
    loop.execute(() -> servers.address("s", new HostPort("127.0.0.1", server.getLocalPort())));
    startTogether(0, 1, 2);
    try (Socket first = server.accept();
        Socket second = server.accept()) {
      assertEquals(frame(first), call(0));
      assertEquals(frame(first), call(1));
      assertEquals(frame(second), call(2));
    }
  }

  /**
   * Guards against a server that holds no more connections, and counts as down and as restarted by
   * that.
   */
  @Test
  public void whatWaitsForARefusedConnectionGoesOverOneThatIsUp() throws Exception {
    for (int part = 0; part < 4; part++) {
      start(part, 0);
    }
    try (Socket first = server.accept()) {
      for (int part = 0; part < 4; part++) {
        assertEquals(frame(first), call(part));
      }
      server.close();
      start(4, 0);
      assertEquals(frame(first), call(4));
      start(5, 0);
      assertEquals(frame(first), call(5));
      first.getOutputStream().write(answer(4, "00000000000000aa"));
      assertEquals(outcomes(1), List.of("4 OK"));
    }
    await(6);
    start(6, 0);
    await(7);
    assertTrue(
        events.contains(
            new Event.AttemptEnded(new AttemptId(6, 0), Router.Outcome.UNREACHABLE, null)),
        "with none up a refusal is one");
  }
}
