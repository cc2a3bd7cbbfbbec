package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.Request;
import bitternpulley.net.EventLoop;
import bitternpulley.net.FrameCodec;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Router;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Provides {@link SlotServers} with one query of nine parts and one slot server "s", which the test
 * implements.
 */
abstract class SlotServersHarness {
  static final int TIMEOUT_MS = 30_000;

  /** A complete value of a part. */
  static final String VALUE = "00000000000000aa";

  /**
   * A new list for each test, since the end of a connection may be reported after the test that
   * opened it.
   */
  List<Event> events;

  EventLoop loop;
  SlotServers servers;
  ServerSocket server;
  Request request;

  @BeforeMethod
  public void setUp() throws IOException {
    events = new CopyOnWriteArrayList<>();
    loop = new EventLoop();
    servers = builder().build();
    List<Request.QueryPart> parts =
        IntStream.range(0, 9).mapToObj(i -> new Request.QueryPart(i, 0.1, 0)).toList();
    request =
        new Request(
            1,
            servers,
            0,
            3000,
            false,
            Router.Terms.CLASS_DEFAULT,
            parts,
            new PlatformQuery("q", 0, 3000, false, null, "f", parts, null));
    server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    server.setSoTimeout(TIMEOUT_MS);
    setAddress();
  }

  @AfterMethod
  public void tearDown() throws IOException {
    server.close();
  }

  SlotServersBuilder builder() {
    return new SlotServersBuilder(loop, events::add);
  }

  HostPort address() {
    return new HostPort("127.0.0.1", server.getLocalPort());
  }

  void setAddress() {
    loop.execute(() -> servers.setAddress("s", address()));
  }

  /** Switches to other slot servers and sets the address of server "s". */
  void useSlotServers(SlotServers replacement) {
    servers = replacement;
    setAddress();
  }

  Effect.StartAttempt attempt(int part, int attemptNumber) {
    return new Effect.StartAttempt(new AttemptId(part, attemptNumber), request, part, "s", 2000);
  }

  void start(int part, int attemptNumber) {
    loop.execute(() -> servers.start(attempt(part, attemptNumber)));
  }

  void startCall(Integer... parts) {
    loop.execute(() -> servers.startCall(List.of(parts).stream().map(p -> attempt(p, 0)).toList()));
  }

  void cancel(int part) {
    loop.execute(() -> cancelOnLoop(part));
  }

  /** Cancels immediately; must be called on the event loop. */
  void cancelOnLoop(int part) {
    servers.cancel(new Effect.CancelAttempt(new AttemptId(part, 0), request, "s"));
  }

  /** Cancels immediately, unless a byte was sent; must be called on the event loop. */
  void cancelUnsentOnLoop(int part) {
    servers.cancelUnsent(new Effect.CancelUnsent(new AttemptId(part, 0), request));
  }

  static String readFrame(Socket socket) throws IOException {
    socket.setSoTimeout(TIMEOUT_MS);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] frame = in.readNBytes(Integer.reverseBytes(in.readInt()));
    return new String(frame, StandardCharsets.US_ASCII);
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the text of the frame that calls these parts. */
  static String callFrame(int... parts) {
    return "1"
        + IntStream.of(parts)
            .mapToObj(part -> "q." + part + " " + part + " d=2000 1\nf")
            .collect(Collectors.joining());
  }

  /** Returns the text of the frame that cancels a part. */
  static String cancelFrame(int part) {
    return "2q." + part;
  }

  static byte[] resultFrame(int part, String value) {
    return FrameCodec.encode('5', ascii("q." + part + " S 7 -\n" + value)).array();
  }

  static void sendResult(Socket socket, int part) throws IOException {
    socket.getOutputStream().write(resultFrame(part, VALUE));
  }

  void awaitEvents(int count) throws InterruptedException {
    long deadline = System.currentTimeMillis() + TIMEOUT_MS;
    while (events.size() < count && System.currentTimeMillis() < deadline) {
      Thread.sleep(1);
    }
  }

  /**
   * Waits for this number of events and returns the outcomes of all ended attempts, ordered by
   * part.
   */
  List<String> outcomes(int count) throws InterruptedException {
    awaitEvents(count);
    return events.stream()
        .map(e -> (Event.AttemptEnded) e)
        .map(e -> e.attempt().part() + " " + e.outcome())
        .sorted()
        .toList();
  }
}
