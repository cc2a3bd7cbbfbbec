package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.config.EndpointList;
import bitternpulley.faultinjection.Ports;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The watches, whose other side the test plays step by step. */
public class DiscoveryTest {
  private static final int PATIENCE_MS = 30_000;

  /** What an unresponsive watch missed counts as received this long after its last line. */
  private static final long RECEIVED_AFTER_MS = 6000;

  private final BlockingQueue<EndpointList> received = new LinkedBlockingQueue<>();
  private EventLoop loop;
  private Discovery discovery;
  private ServerSocket agent;

  @BeforeMethod
  public void begin() throws IOException {
    received.clear();
    loop = new EventLoop();
    agent = listen();
    discovery = new Discovery(loop, addressOf(agent), List.of("a"), 41, received::add);
    loop.execute(discovery::start);
  }

  @AfterMethod
  public void end() throws IOException {
    agent.close();
  }

  private static ServerSocket listen() throws IOException {
    ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    listener.setSoTimeout(PATIENCE_MS);
    return listener;
  }

  private static HostPort addressOf(ServerSocket listener) {
    return new HostPort("127.0.0.1", listener.getLocalPort());
  }

  /** Accepts the next watch, checks that it resumes from this revision, and sends the head. */
  private static Socket watch(ServerSocket listener, int revision) throws IOException {
    Socket watch = unanswered(listener, revision);
    watch
        .getOutputStream()
        .write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
    return watch;
  }

  /** Accepts the next watch and checks that it resumes from this revision. */
  private static Socket unanswered(ServerSocket listener, int revision) throws IOException {
    Socket watch = listener.accept();
    watch.setSoTimeout(PATIENCE_MS);
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
      head.write(watch.getInputStream().read());
    }
    assertTrue(
        head.toString(StandardCharsets.US_ASCII)
            .startsWith("GET /api/targets?watch=1&from=" + revision + " "),
        head.toString(StandardCharsets.US_ASCII));
    return watch;
  }

  private static void sendChunk(Socket watch, String text) throws IOException {
    watch
        .getOutputStream()
        .write(
            (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    watch.getOutputStream().flush();
  }

  private static String list(int revision, String phase) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":false,\"members\":[{\"id\":\"s{1}\",\"host_port\":\"127.0.0.1:1\","
        + "\"locality\":\"a\",\"cell\":0,\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":0}]}";
  }

  private long next() throws InterruptedException {
    EndpointList list = received.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertTrue(list != null, "no list was received");
    return list.revision();
  }

  @Test
  public void readsAnIndentedListThatArrivesByteByByte() throws Exception {
    try (Socket watch = watch(agent, 41)) {
      String text =
          list(42, "draining").replace(",", ",\r\n  ").replace("[", "[\n    ")
              + "\n\n"
              + list(43, "up")
              + "\n";
      for (int i = 0; i < text.length(); i++) {
        sendChunk(watch, text.substring(i, i + 1));
      }
      assertEquals(next(), 42);
      assertEquals(next(), 43);
    }
  }

  /** A string may hold brackets and quotes, which end no object. */
  @Test
  public void readsAllListsOfOneChunk() throws Exception {
    try (Socket watch = watch(agent, 41)) {
      sendChunk(
          watch,
          list(42, "up").replace("s{1}", "s}\\\"]{1")
              + list(43, "draining")
              + "\n \t\n"
              + list(44, "up"));
      assertEquals(next(), 42);
      assertEquals(next(), 43);
      assertEquals(next(), 44);
    }
  }

  @Test
  public void ignoresAnOlderRevision() throws Exception {
    try (Socket watch = watch(agent, 41)) {
      sendChunk(watch, list(45, "up") + "\n" + list(44, "draining") + "\n" + list(46, "up") + "\n");
      assertEquals(next(), 45);
      assertEquals(next(), 46);
    }
  }

  /** A drain has to be received as soon as discovery can be reached. */
  @Test
  public void resumesAtOnceFromTheLastRevisionAfterAResetOrAnEnd() throws Exception {
    int revision = 41;
    for (boolean reset : new boolean[] {true, false, true, false}) {
      try (Socket watch = watch(agent, revision)) {
        sendChunk(watch, list(++revision, "up") + "\n");
        assertEquals(next(), revision);
        if (reset) {
          watch.setSoLinger(true, 0);
        } else {
          watch.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
      }
    }
    watch(agent, revision).close();
  }

  /** After earlier failures the backoff is long. */
  @Test
  public void resetsTheBackoffAfterAWatchThatWasAlive() throws Exception {
    for (int i = 0; i < 6; i++) {
      unanswered(agent, 41).close();
    }
    try (Socket watch = watch(agent, 41)) {
      // An empty line is a sign of life before the first list.
      sendChunk(watch, "\n");
      sendChunk(watch, list(42, "up") + "\n");
      assertEquals(next(), 42);
    }
    long ended = System.nanoTime();
    watch(agent, 42).close();
    assertTrue(
        System.nanoTime() - ended < 200_000_000,
        "the first wait is at most 50 ms, the longest 250");
  }

  private interface Misbehaviour {
    void on(Socket watch) throws IOException;
  }

  /** Checks that another watch delivers before what this one missed counts as received. */
  private void assertReplacedInTime(Misbehaviour misbehaviour) throws Exception {
    try (Socket silent = watch(agent, 41)) {
      sendChunk(silent, list(42, "up") + "\n");
      assertEquals(next(), 42);
      long since = System.nanoTime();
      misbehaviour.on(silent);
      try (Socket fresh = watch(agent, 42)) {
        sendChunk(fresh, list(43, "draining") + "\n");
        assertEquals(next(), 43);
        long ms = (System.nanoTime() - since) / 1_000_000;
        assertTrue(ms < RECEIVED_AFTER_MS, "after " + ms + " ms");
      }
    }
  }

  @Test
  public void replacesAnUnresponsiveWatchInTime() throws Exception {
    assertReplacedInTime(watch -> {});
  }

  @Test
  public void replacesAWatchThatStopsWithinAListInTime() throws Exception {
    assertReplacedInTime(watch -> sendChunk(watch, list(43, "draining").substring(0, 50)));
  }

  /** Bytes without a complete list are no sign of life. */
  @Test
  public void replacesAWatchThatTricklesAnEndlessListInTime() throws Exception {
    assertReplacedInTime(
        watch -> {
          Thread trickle =
              new Thread(
                  () -> {
                    try {
                      sendChunk(watch, "{\"revision\":");
                      while (!watch.isClosed()) {
                        sendChunk(watch, " ");
                        TimeUnit.MILLISECONDS.sleep(100);
                      }
                    } catch (IOException | InterruptedException replaced) {
                      // The watch has been closed.
                    }
                  });
          trickle.setDaemon(true);
          trickle.start();
        });
  }

  /** Such a watch must not take the time in which the next one could deliver. */
  @Test
  public void replacesAWatchThatIsAnsweredAndThenSilentInTime() throws Exception {
    try (Socket silent = watch(agent, 41)) {
      sendChunk(silent, list(42, "up") + "\n");
      assertEquals(next(), 42);
      long since = System.nanoTime();
      try (Socket mute = watch(agent, 42);
          Socket fresh = watch(agent, 42)) {
        sendChunk(fresh, list(43, "draining") + "\n");
        assertEquals(next(), 43);
        long ms = (System.nanoTime() - since) / 1_000_000;
        assertTrue(ms < RECEIVED_AFTER_MS, "after " + ms + " ms");
        assertEquals(mute.getInputStream().read(), -1, "it has been closed");
      }
    }
  }

  /** It may deliver after all, before the next one does. */
  @SuppressWarnings("try") // the connection itself is under test
  @Test
  public void readsAnUnresponsiveWatchUntilTheNextIsAlive() throws Exception {
    try (Socket silent = watch(agent, 41)) {
      sendChunk(silent, list(42, "up") + "\n");
      assertEquals(next(), 42);
      try (Socket mute = unanswered(agent, 42)) {
        sendChunk(silent, list(43, "draining") + "\n");
        assertEquals(next(), 43);
      }
    }
  }

  @Test
  public void readsTheOldWatchAndRetriesTheNewAddressWhereItRefuses() throws Exception {
    HostPort moved = new HostPort("127.0.0.1", Ports.free(List.of("127.0.0.1")));
    try (Socket old = watch(agent, 41)) {
      sendChunk(old, list(42, "up") + "\n");
      assertEquals(next(), 42);
      loop.execute(() -> discovery.moveTo(moved));
      sendChunk(old, list(43, "draining") + "\n");
      assertEquals(next(), 43);
      try (ServerSocket there =
          new ServerSocket(moved.port(), 50, InetAddress.getLoopbackAddress())) {
        there.setSoTimeout(PATIENCE_MS);
        try (Socket fresh = watch(there, 43)) {
          sendChunk(fresh, list(44, "up") + "\n");
          assertEquals(next(), 44);
          old.setSoTimeout(PATIENCE_MS);
          assertEquals(old.getInputStream().read(), -1, "only now is it closed");
        }
      }
    }
  }

  @SuppressWarnings("try") // the connection itself is under test
  @Test
  public void readsTheOldWatchAndRetriesTheNewAddressWhereItIsSilent() throws Exception {
    try (Socket old = watch(agent, 41);
        ServerSocket silent = listen()) {
      sendChunk(old, list(42, "up") + "\n");
      assertEquals(next(), 42);
      loop.execute(() -> discovery.moveTo(addressOf(silent)));
      try (Socket first = unanswered(silent, 42);
          Socket second = unanswered(silent, 42)) {
        sendChunk(old, list(43, "draining") + "\n");
        assertEquals(next(), 43, "the old one is still read");
      }
    }
  }

  @Test
  public void invalidMessageEndsItsWatchAndNothingElse() throws Exception {
    for (String bad : List.of("]", "{\"revision\":42}", "{]}", "x".repeat(10))) {
      try (Socket watch = watch(agent, 41)) {
        sendChunk(watch, bad + "\n");
        assertEquals(watch.getInputStream().read(), -1, bad);
      }
    }
    try (Socket watch = watch(agent, 41)) {
      sendChunk(watch, list(42, "up"));
      assertEquals(next(), 42);
    }
  }
}
