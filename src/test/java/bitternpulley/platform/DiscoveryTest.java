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

/** Tests the watches of discovery against an agent that the test implements step by step. */
public class DiscoveryTest {
  private static final int TIMEOUT_MS = 30_000;

  /**
   * Time after which a list that discovery has sent counts as received, even if the watch has not
   * delivered it.
   */
  private static final long COUNTS_AS_RECEIVED_AFTER_MS = 6000;

  private final BlockingQueue<EndpointList> received = new LinkedBlockingQueue<>();
  private EventLoop loop;
  private Discovery discovery;
  private ServerSocket agent;

  @BeforeMethod
  public void setUp() throws IOException {
    received.clear();
    loop = new EventLoop();
    agent = listen();
    discovery = new Discovery(loop, addressOf(agent), List.of("a"), 41, received::add);
    loop.execute(discovery::start);
  }

  @AfterMethod
  public void tearDown() throws IOException {
    agent.close();
  }

  /**
   * Listens on a port that is not given to any later test: the discovery client of a test goes on
   * to connect to it after the test.
   */
  private static ServerSocket listen() throws IOException {
    ServerSocket listener =
        new ServerSocket(Ports.reservePort(), 50, InetAddress.getLoopbackAddress());
    listener.setSoTimeout(TIMEOUT_MS);
    return listener;
  }

  private static HostPort addressOf(ServerSocket listener) {
    return new HostPort("127.0.0.1", listener.getLocalPort());
  }

  /**
   * Accepts the next watch, checks that it resumes from this revision, and sends the response head.
   */
  private static Socket acceptWatch(ServerSocket listener, int revision) throws IOException {
    Socket watch = acceptWatchWithoutResponse(listener, revision);
    watch
        .getOutputStream()
        .write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
    return watch;
  }

  /** Accepts the next watch and checks that it resumes from this revision. */
  private static Socket acceptWatchWithoutResponse(ServerSocket listener, int revision)
      throws IOException {
    Socket watch = listener.accept();
    watch.setSoTimeout(TIMEOUT_MS);
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

  private long nextRevision() throws InterruptedException {
    EndpointList list = received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertTrue(list != null, "no list was received");
    return list.revision();
  }

  @Test
  public void readsAnIndentedListThatArrivesByteByByte() throws Exception {
    try (Socket watch = acceptWatch(agent, 41)) {
      String text =
          list(42, "draining").replace(",", ",\r\n  ").replace("[", "[\n    ")
              + "\n\n"
              + list(43, "up")
              + "\n";
      for (int i = 0; i < text.length(); i++) {
        sendChunk(watch, text.substring(i, i + 1));
      }
      assertEquals(nextRevision(), 42);
      assertEquals(nextRevision(), 43);
    }
  }

  /** Strings may contain brackets and quotes, which must not end an object. */
  @Test
  public void readsAllListsOfOneChunk() throws Exception {
    try (Socket watch = acceptWatch(agent, 41)) {
      sendChunk(
          watch,
          list(42, "up").replace("s{1}", "s}\\\"]{1")
              + list(43, "draining")
              + "\n \t\n"
              + list(44, "up"));
      assertEquals(nextRevision(), 42);
      assertEquals(nextRevision(), 43);
      assertEquals(nextRevision(), 44);
    }
  }

  @Test
  public void ignoresAnOlderRevision() throws Exception {
    try (Socket watch = acceptWatch(agent, 41)) {
      sendChunk(watch, list(45, "up") + "\n" + list(44, "draining") + "\n" + list(46, "up") + "\n");
      assertEquals(nextRevision(), 45);
      assertEquals(nextRevision(), 46);
    }
  }

  /** A drain has to be received as soon as discovery is reachable. */
  @Test
  public void resumesImmediatelyFromLastRevisionAfterResetOrEnd() throws Exception {
    int revision = 41;
    for (boolean reset : new boolean[] {true, false, true, false}) {
      try (Socket watch = acceptWatch(agent, revision)) {
        sendChunk(watch, list(++revision, "up") + "\n");
        assertEquals(nextRevision(), revision);
        if (reset) {
          watch.setSoLinger(true, 0);
        } else {
          watch.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
      }
    }
    acceptWatch(agent, revision).close();
  }

  /** The backoff grows with each consecutive failure. */
  @Test
  public void resetsTheBackoffAfterAWatchThatWasAlive() throws Exception {
    for (int i = 0; i < 6; i++) {
      acceptWatchWithoutResponse(agent, 41).close();
    }
    try (Socket watch = acceptWatch(agent, 41)) {
      // A blank line before the first list shows that the agent is alive.
      sendChunk(watch, "\n");
      sendChunk(watch, list(42, "up") + "\n");
      assertEquals(nextRevision(), 42);
    }
    long ended = System.nanoTime();
    acceptWatch(agent, 42).close();
    assertTrue(
        System.nanoTime() - ended < 200_000_000,
        "the first backoff is at most 50 ms, the longest 250 ms");
  }

  private interface WatchFault {
    void apply(Socket watch) throws IOException;
  }

  /** Checks that a replacement delivers the missed list before that list counts as received. */
  private void assertReplacedInTime(WatchFault fault) throws Exception {
    try (Socket silent = acceptWatch(agent, 41)) {
      sendChunk(silent, list(42, "up") + "\n");
      assertEquals(nextRevision(), 42);
      long start = System.nanoTime();
      fault.apply(silent);
      try (Socket replacement = acceptWatch(agent, 42)) {
        sendChunk(replacement, list(43, "draining") + "\n");
        assertEquals(nextRevision(), 43);
        long ms = (System.nanoTime() - start) / 1_000_000;
        assertTrue(ms < COUNTS_AS_RECEIVED_AFTER_MS, "after " + ms + " ms");
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

  /** Bytes without a complete list do not show that the agent is alive. */
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

  /**
   * A replacement without any list must itself be replaced early enough for the next one to deliver
   * in time.
   */
  @Test
  public void replacesAWatchThatIsSilentAfterItsResponseHeadInTime() throws Exception {
    try (Socket silent = acceptWatch(agent, 41)) {
      sendChunk(silent, list(42, "up") + "\n");
      assertEquals(nextRevision(), 42);
      long start = System.nanoTime();
      try (Socket headOnly = acceptWatch(agent, 42);
          Socket replacement = acceptWatch(agent, 42)) {
        sendChunk(replacement, list(43, "draining") + "\n");
        assertEquals(nextRevision(), 43);
        long ms = (System.nanoTime() - start) / 1_000_000;
        assertTrue(ms < COUNTS_AS_RECEIVED_AFTER_MS, "after " + ms + " ms");
        assertEquals(
            headOnly.getInputStream().read(), -1, "the silent replacement has been closed");
      }
    }
  }

  /** The unresponsive watch may deliver a list before its replacement does. */
  @SuppressWarnings("try") // the connection itself is under test
  @Test
  public void readsAnUnresponsiveWatchUntilTheNextIsAlive() throws Exception {
    try (Socket silent = acceptWatch(agent, 41)) {
      sendChunk(silent, list(42, "up") + "\n");
      assertEquals(nextRevision(), 42);
      try (Socket unanswered = acceptWatchWithoutResponse(agent, 42)) {
        sendChunk(silent, list(43, "draining") + "\n");
        assertEquals(nextRevision(), 43);
      }
    }
  }

  @Test
  public void readsTheOldWatchAndRetriesWhileTheNewAddressRefuses() throws Exception {
    HostPort newAddress = new HostPort("127.0.0.1", Ports.reservePort(List.of("127.0.0.1")));
    try (Socket old = acceptWatch(agent, 41)) {
      sendChunk(old, list(42, "up") + "\n");
      assertEquals(nextRevision(), 42);
      loop.execute(() -> discovery.moveTo(newAddress));
      sendChunk(old, list(43, "draining") + "\n");
      assertEquals(nextRevision(), 43);
      try (ServerSocket newAgent =
          new ServerSocket(newAddress.port(), 50, InetAddress.getLoopbackAddress())) {
        newAgent.setSoTimeout(TIMEOUT_MS);
        try (Socket replacement = acceptWatch(newAgent, 43)) {
          sendChunk(replacement, list(44, "up") + "\n");
          assertEquals(nextRevision(), 44);
          old.setSoTimeout(TIMEOUT_MS);
          assertEquals(old.getInputStream().read(), -1, "the old watch is closed only now");
        }
      }
    }
  }

  @SuppressWarnings("try") // the connection itself is under test
  @Test
  public void readsTheOldWatchAndRetriesWhileTheNewAddressIsSilent() throws Exception {
    try (Socket old = acceptWatch(agent, 41);
        ServerSocket silent = listen()) {
      sendChunk(old, list(42, "up") + "\n");
      assertEquals(nextRevision(), 42);
      loop.execute(() -> discovery.moveTo(addressOf(silent)));
      try (Socket first = acceptWatchWithoutResponse(silent, 42);
          Socket second = acceptWatchWithoutResponse(silent, 42)) {
        sendChunk(old, list(43, "draining") + "\n");
        assertEquals(nextRevision(), 43, "the old watch is still read");
      }
    }
  }

  @Test
  public void invalidMessageEndsOnlyItsWatch() throws Exception {
    for (String bad : List.of("]", "{\"revision\":42}", "{]}", "x".repeat(10))) {
      try (Socket watch = acceptWatch(agent, 41)) {
        sendChunk(watch, bad + "\n");
        assertEquals(watch.getInputStream().read(), -1, bad);
      }
    }
    try (Socket watch = acceptWatch(agent, 41)) {
      sendChunk(watch, list(42, "up"));
      assertEquals(nextRevision(), 42);
    }
  }
}
