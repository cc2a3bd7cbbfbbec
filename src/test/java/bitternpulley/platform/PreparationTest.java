package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.config.EndpointList;
import bitternpulley.net.EventLoop;
import bitternpulley.routing.Router;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Connections opened ahead of the first parts, one after the other. */
public class PreparationTest {
  private static final int PATIENCE_S = 30;

  private EventLoop loop;
  private BlockingQueue<String> opened;
  private Preparation preparation;

  private static EndpointList.Entry entry(int n, Router.ServerState state) {
    return new EndpointList.Entry(new Router.Endpoint("s" + n, 0, n, state, 0), null);
  }

  private static EndpointList list(Stream<EndpointList.Entry> entries) {
    return new EndpointList(1, true, entries.toList());
  }

  @BeforeMethod
  public void prepare() {
    loop = new EventLoop();
    opened = new LinkedBlockingQueue<>();
    preparation = new Preparation(loop, 7, opened::add);
  }

  private String next() throws InterruptedException {
    return opened.poll(PATIENCE_S, TimeUnit.SECONDS);
  }

  /** Guards against a restarted fleet that meets each server all at once, and in the same order. */
  @Test
  public void eachServerIsReachedOnceAndNotInTheListsOrder() throws InterruptedException {
    loop.execute(
        () -> {
          preparation.told(
              list(IntStream.range(0, 12).mapToObj(i -> entry(i, Router.ServerState.LIVE))));
          preparation.begin();
        });
    long before = System.nanoTime();
    List<String> order =
        List.of(
            next(), next(), next(), next(), next(), next(), next(), next(), next(), next(), next(),
            next());
    assertTrue(System.nanoTime() - before >= 100_000_000, "a pace is kept");
    List<String> listed = IntStream.range(0, 12).mapToObj(i -> "s" + i).toList();
    assertEquals(order.stream().sorted().toList(), listed.stream().sorted().toList());
    assertTrue(!order.equals(listed), order.toString());
  }

  /** Guards against connections to servers that take nothing new, and before the program serves. */
  @Test
  public void oneThatDrainsMeanwhileIsLeftOut() throws InterruptedException {
    loop.execute(
        () -> {
          preparation.told(
              list(
                  Stream.of(entry(0, Router.ServerState.LIVE), entry(1, Router.ServerState.LIVE))));
          preparation.told(
              list(
                  Stream.of(
                      entry(0, Router.ServerState.DRAINING), entry(2, Router.ServerState.LIVE))));
          assertTrue(opened.isEmpty());
          preparation.begin();
        });
    assertEquals(Stream.of(next(), next()).sorted().toList(), List.of("s1", "s2"));
    loop.execute(() -> preparation.told(list(Stream.of(entry(3, Router.ServerState.LIVE)))));
    assertEquals(next(), "s3", "what joins later is reached as well");
  }

  /**
   * Guards against connections that are closed as idle before the last of very many servers is
   * reached.
   */
  @Test
  public void veryManyServersAreReachedWithinSeconds() throws InterruptedException {
    loop.execute(
        () -> {
          preparation.told(
              list(IntStream.range(0, 3500).mapToObj(i -> entry(i, Router.ServerState.LIVE))));
          preparation.begin();
        });
    next();
    long before = System.nanoTime();
    for (int i = 1; i < 3500; i++) {
      next();
    }
    assertTrue(System.nanoTime() - before <= 12_000_000_000L, "within the least idle time of 12 s");
  }
}
