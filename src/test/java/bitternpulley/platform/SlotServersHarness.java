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
 * Slot servers with one query of nine parts, and one slot server "s", whose side the test plays.
 */
abstract class SlotServersHarness {
  static final int PATIENCE_MS = 30_000;

  /** A complete value of a part. */
  static final String VALUE = "00000000000000aa";

  /** Each test has its own: the end of a connection may be reported after the test that left it. */
  List<Event> events;

  EventLoop loop;
  SlotServers servers;
  ServerSocket server;
  Request request;

  @BeforeMethod
  public void listen() throws IOException {
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
    server.setSoTimeout(PATIENCE_MS);
    setAddress();
  }

  @AfterMethod
  public void close() throws IOException {
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

  /** Uses other slot servers, which know the address of the server. */
  void use(SlotServers others) {
    servers = others;
    setAddress();
  }

  Effect.StartAttempt attempt(int part, int number) {
    return new Effect.StartAttempt(new AttemptId(part, number), request, part, "s", 2000);
  }

  void start(int part, int number) {
    loop.execute(() -> servers.start(attempt(part, number)));
  }

  void startCall(Integer... parts) {
    loop.execute(() -> servers.startCall(List.of(parts).stream().map(p -> attempt(p, 0)).toList()));
  }

  void cancel(int part) {
    loop.execute(() -> cancelNow(part));
  }

  /** Cancels in this turn of the loop. */
  void cancelNow(int part) {
    servers.cancel(new Effect.CancelAttempt(new AttemptId(part, 0), request, "s"));
  }

  /** Cancels in this turn of the loop, unless a byte was sent. */
  void cancelUnsentNow(int part) {
    servers.cancelUnsent(new Effect.CancelUnsent(new AttemptId(part, 0), request));
  }

  static String readFrame(Socket socket) throws IOException {
    socket.setSoTimeout(PATIENCE_MS);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] frame = in.readNBytes(Integer.reverseBytes(in.readInt()));
    return new String(frame, StandardCharsets.US_ASCII);
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** The frame of a call of these parts. */
  static String call(int... parts) {
    return "1"
        + IntStream.of(parts)
            .mapToObj(part -> "q." + part + " " + part + " d=2000 1\nf")
            .collect(Collectors.joining());
  }

  /** The frame that cancels a part. */
  static String cancellation(int part) {
    return "2q." + part;
  }

  static byte[] result(int part, String value) {
    return FrameCodec.encode('5', ascii("q." + part + " S 7 -\n" + value)).array();
  }

  static void answer(Socket socket, int part) throws IOException {
    socket.getOutputStream().write(result(part, VALUE));
  }

  void awaitEvents(int count) throws InterruptedException {
    long end = System.currentTimeMillis() + PATIENCE_MS;
    while (events.size() < count && System.currentTimeMillis() < end) {
      Thread.sleep(1);
    }
  }

  /** All ends of attempts, by part, once there are this many. */
  List<String> outcomes(int count) throws InterruptedException {
    awaitEvents(count);
    return events.stream()
        .map(e -> (Event.AttemptEnded) e)
        .map(e -> e.attempt().part() + " " + e.outcome())
        .sorted()
        .toList();
  }
}
