package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.config.EndpointList;
import bitternpulley.net.EventLoop;
import bitternpulley.routing.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that connections are opened before the first parts are sent, at a limited rate. */
public class ConnectionPrewarmerTest {
  private static final int TIMEOUT_S = 30;

  private EventLoop loop;
  private BlockingQueue<String> opened;
  private ConnectionPrewarmer prewarmer;

  private static EndpointList.Entry entry(int number, Router.ServerState state) {
    return new EndpointList.Entry(new Router.Endpoint("s" + number, 0, number, state, 0), null);
  }

  private static EndpointList list(Stream<EndpointList.Entry> entries) {
    return new EndpointList(1, true, entries.toList());
  }

  private static EndpointList liveServers(int count) {
    return list(IntStream.range(0, count).mapToObj(i -> entry(i, Router.ServerState.LIVE)));
  }

  @BeforeMethod
  public void setUp() {
    loop = new EventLoop();
    opened = new LinkedBlockingQueue<>();
    prewarmer = new ConnectionPrewarmer(loop, 7, opened::add);
  }

  private String nextOpened() throws InterruptedException {
    return opened.poll(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /**
   * Instances that restart together must not all connect to a server at the same time, nor connect
   * to the servers in the same order.
   */
  @Test
  public void connectsToEachServerOnceInRandomOrderAtLimitedRate() throws InterruptedException {
    loop.execute(
        () -> {
          prewarmer.onEndpointList(liveServers(12));
          prewarmer.enable();
        });
    long before = System.nanoTime();
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      order.add(nextOpened());
    }
    assertTrue(System.nanoTime() - before >= 100_000_000, "the rate is limited");
    List<String> listed = IntStream.range(0, 12).mapToObj(i -> "s" + i).toList();
    assertEquals(order.stream().sorted().toList(), listed.stream().sorted().toList());
    assertTrue(!order.equals(listed), order.toString());
  }

  @Test
  public void connectsOnlyAfterEnableAndNotToDrainingServers() throws InterruptedException {
    loop.execute(
        () -> {
          prewarmer.onEndpointList(liveServers(2));
          prewarmer.onEndpointList(
              list(
                  Stream.of(
                      entry(0, Router.ServerState.DRAINING), entry(2, Router.ServerState.LIVE))));
          assertTrue(opened.isEmpty());
          prewarmer.enable();
        });
    assertEquals(Stream.of(nextOpened(), nextOpened()).sorted().toList(), List.of("s1", "s2"));
    loop.execute(
        () -> prewarmer.onEndpointList(list(Stream.of(entry(3, Router.ServerState.LIVE)))));
    assertEquals(nextOpened(), "s3", "a server that joins later is connected too");
  }

  /** The first connections must not be closed as idle before the last is opened. */
  @Test
  public void connectsToThousandsOfServersWithinTheIdleTimeout() throws InterruptedException {
    loop.execute(
        () -> {
          prewarmer.onEndpointList(liveServers(3500));
          prewarmer.enable();
        });
    nextOpened();
    long before = System.nanoTime();
    for (int i = 1; i < 3500; i++) {
      nextOpened();
    }
    assertTrue(
        System.nanoTime() - before <= 12_000_000_000L,
        "all opened within the shortest idle timeout of 12 s");
  }
}
