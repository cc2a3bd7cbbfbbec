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

/** The watch, whose other side the test plays step by step: each step waits for the one before. */
public class DiscoveryTest {
  private static final int PATIENCE_MS = 30_000;

  /** What a silent watch has missed counts as told so many ms after it fell silent. */
  private static final long TOLD_AFTER = 6000;

  private final BlockingQueue<EndpointList> told = new LinkedBlockingQueue<>();
  private EventLoop loop;
  private Discovery discovery;
  private ServerSocket agent;

  @BeforeMethod
  public void begin() throws IOException {
    told.clear();
    loop = new EventLoop();
    agent = listen();
    discovery = new Discovery(loop, at(agent), List.of("a"), 41, told::add);
    loop.execute(discovery::start);
  }

  @AfterMethod
  public void end() throws IOException {
    agent.close();
  }

  private static ServerSocket listen() throws IOException {
    ServerSocket at = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    at.setSoTimeout(PATIENCE_MS);
    return at;
  }

  private static HostPort at(ServerSocket of) {
    return new HostPort("127.0.0.1", of.getLocalPort());
  }

  /** The next watch, asked for from this revision, and answered so far. */
  private static Socket watch(ServerSocket of, int from) throws IOException {
    Socket watch = unanswered(of, from);
    watch
        .getOutputStream()
        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
    return watch;
  }

  private static Socket unanswered(ServerSocket of, int from) throws IOException {
    Socket watch = of.accept();
    watch.setSoTimeout(PATIENCE_MS);
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
      head.write(watch.getInputStream().read());
    }
    assertTrue(
        head.toString(StandardCharsets.US_ASCII)
            .startsWith("GET /api/targets?watch=1&from=" + from + " "),
        head.toString());
    return watch;
  }

  private static void chunk(Socket to, String text) throws IOException {
    to.getOutputStream()
        .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
    to.getOutputStream().flush();
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
    EndpointList list = told.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertTrue(list != null, "nothing was told");
    return list.revision();
  }

  /** Guards against lists that are heard only if each stands on one line of its own. */
  @Test
  public void aListMayBeIndentedAndComeByteByByte() throws Exception {
    try (Socket watch = watch(agent, 41)) {
      String text =
          list(42, "draining").replace(",", ",\r\n  ").replace("[", "[\n    ")
              + "\n\n"
              + list(43, "up")
              + "\n";
      for (int i = 0; i < text.length(); i++) {
        chunk(watch, text.substring(i, i + 1));
      }
      assertEquals(next(), 42);
      assertEquals(next(), 43);
    }
  }

  /**
   * Guards against two lists of which only the first is heard, and a value with brackets and quotes
   * that ends one early.
   */
  @Test
  public void severalListsInOneReadAreAllHeard() throws Exception {
    try (Socket watch = watch(agent, 41)) {
      chunk(
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
  public void anOlderRevisionIsNotTold() throws Exception {
    try (Socket watch = watch(agent, 41)) {
      chunk(watch, list(45, "up") + "\n" + list(44, "draining") + "\n" + list(46, "up") + "\n");
      assertEquals(next(), 45);
      assertEquals(next(), 46);
    }
  }

  /**
   * Guards against a watch that is reset and taken up late: a drain is told as soon as discovery
   * can be asked.
   */
  @Test
  public void aWatchThatIsResetOrEndsIsTakenUpAtOnceFromWhereItWas() throws Exception {
    int from = 41;
    for (boolean reset : new boolean[] {true, false, true, false}) {
      try (Socket watch = watch(agent, from)) {
        chunk(watch, list(++from, "up") + "\n");
        assertEquals(next(), from);
        if (reset) {
          watch.setSoLinger(true, 0);
        } else {
          watch.getOutputStream().write("0\r\n\r\n".getBytes());
        }
      }
    }
    watch(agent, from).close();
  }

  /**
   * Guards against waits that a failed past has made long: after a watch that worked they are short
   * again.
   */
  @Test
  public void waitsBeginAnewAfterAWatchThatWorked() throws Exception {
    for (int i = 0; i < 6; i++) {
      unanswered(agent, 41).close();
    }
    try (Socket watch = watch(agent, 41)) {
      // An empty line is a sign that it works; no list has come.
      chunk(watch, "\n");
      chunk(watch, list(42, "up") + "\n");
      assertEquals(next(), 42);
    }
    long ended = System.nanoTime();
    watch(agent, 42).close();
    assertTrue(
        System.nanoTime() - ended < 200_000_000,
        "the first wait is at most 50 ms, the longest 250");
  }

  private interface Ways {
    void on(Socket watch) throws IOException;
  }

  /** A fresh watch must be open, and could tell all, before what this one missed counts as told. */
  private void fallsSilent(Ways ways) throws Exception {
    try (Socket silent = watch(agent, 41)) {
      chunk(silent, list(42, "up") + "\n");
      assertEquals(next(), 42);
      long since = System.nanoTime();
      ways.on(silent);
      try (Socket fresh = watch(agent, 42)) {
        chunk(fresh, list(43, "draining") + "\n");
        assertEquals(next(), 43);
        long ms = (System.nanoTime() - since) / 1_000_000;
        assertTrue(ms < TOLD_AFTER, "after " + ms + " ms");
      }
    }
  }

  @Test
  public void aSilentWatchIsReplacedBeforeWhatItMissedCountsAsTold() throws Exception {
    fallsSilent(watch -> {});
  }

  @Test
  public void oneThatFallsSilentInTheMiddleOfAListIsReplacedInTime() throws Exception {
    fallsSilent(watch -> chunk(watch, list(43, "draining").substring(0, 50)));
  }

  /** Guards against bytes that are taken for a sign of life though no whole line ever comes. */
  @Test
  public void oneThatTricklesAndNeverEndsALineIsReplacedInTime() throws Exception {
    fallsSilent(
        watch -> {
          Thread trickle =
              new Thread(
                  () -> {
                    try {
                      chunk(watch, "{\"revision\":");
                      while (!watch.isClosed()) {
                        chunk(watch, " ");
                        TimeUnit.MILLISECONDS.sleep(100);
                      }
                    } catch (IOException | InterruptedException e) {
                      // it has been replaced
                    }
                  });
          trickle.setDaemon(true);
          trickle.start();
        });
  }

  /**
   * Guards against watches that come up and say nothing, each of which takes the time in which the
   * next could speak.
   */
  @Test
  public void freshOnesThatAreAnsweredAndSayNothingAreReplacedInTime() throws Exception {
    try (Socket silent = watch(agent, 41)) {
      chunk(silent, list(42, "up") + "\n");
      assertEquals(next(), 42);
      long since = System.nanoTime();
      try (Socket mute = watch(agent, 42);
          Socket fresh = watch(agent, 42)) {
        chunk(fresh, list(43, "draining") + "\n");
        assertEquals(next(), 43);
        long ms = (System.nanoTime() - since) / 1_000_000;
        assertTrue(ms < TOLD_AFTER, "after " + ms + " ms");
        assertEquals(mute.getInputStream().read(), -1, "it has been given up");
      }
    }
  }

  /**
   * Guards against a list that is told late: one that fell silent is heard on until the fresh one
   * speaks.
   */
  @SuppressWarnings("try") // the connection itself is under test
  @Test
  public void whatTheSilentOneSaysAfterAllIsHeard() throws Exception {
    try (Socket silent = watch(agent, 41)) {
      chunk(silent, list(42, "up") + "\n");
      assertEquals(next(), 42);
      try (Socket mute = unanswered(agent, 42)) {
        chunk(silent, list(43, "draining") + "\n");
        assertEquals(next(), 43);
      }
    }
  }

  @Test
  public void afterAMoveToADeadAddressTheOldWatchIsHeardAndTheNewOneIsTriedOn() throws Exception {
    HostPort moved = new HostPort("127.0.0.1", Ports.free(List.of("127.0.0.1")));
    try (Socket old = watch(agent, 41)) {
      chunk(old, list(42, "up") + "\n");
      assertEquals(next(), 42);
      loop.execute(() -> discovery.moveTo(moved));
      chunk(old, list(43, "draining") + "\n");
      assertEquals(next(), 43);
      try (ServerSocket there =
          new ServerSocket(moved.port(), 50, InetAddress.getByName("127.0.0.1"))) {
        there.setSoTimeout(PATIENCE_MS);
        try (Socket fresh = watch(there, 43)) {
          chunk(fresh, list(44, "up") + "\n");
          assertEquals(next(), 44);
          old.setSoTimeout(PATIENCE_MS);
          assertEquals(old.getInputStream().read(), -1, "only now is it given up");
        }
      }
    }
  }

  @SuppressWarnings("try") // the connection itself is under test
  @Test
  public void afterAMoveToASilentAddressTheNewOneIsTriedOn() throws Exception {
    try (Socket old = watch(agent, 41);
        ServerSocket silent = listen()) {
      chunk(old, list(42, "up") + "\n");
      assertEquals(next(), 42);
      loop.execute(() -> discovery.moveTo(at(silent)));
      try (Socket first = unanswered(silent, 42);
          Socket second = unanswered(silent, 42)) {
        chunk(old, list(43, "draining") + "\n");
        assertEquals(next(), 43, "the old one is heard on");
      }
    }
  }

  @Test
  public void whatCannotBeUsedEndsItsWatchAndNothingElse() throws Exception {
    for (String bad : List.of("]", "{\"revision\":42}", "{]}", "x".repeat(10))) {
      try (Socket watch = watch(agent, 41)) {
        chunk(watch, bad + "\n");
        assertEquals(watch.getInputStream().read(), -1, bad);
      }
    }
    try (Socket watch = watch(agent, 41)) {
      chunk(watch, list(42, "up"));
      assertEquals(next(), 42);
    }
  }
}
