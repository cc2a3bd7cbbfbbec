package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * More idle clients than the program has descriptors for, while discovery is away: who needs one
 * keeps it.
 */
public class DescriptorsProcessTest extends ProcessTest {
  private static final int SOCKETS = 160;
  private static final int IDLE = 400;

  /** What discovery has counts as told so long after it can be reached again. */
  private static final long TOLD_WITHIN = TimeUnit.SECONDS.toNanos(6);

  private final List<Socket> idle = new ArrayList<>();
  private CountDownLatch back;

  @BeforeMethod
  @Override
  public void start() throws IOException {
    d = new Deployment();
    ((ObjectNode) d.config().path("limits")).put("sockets", SOCKETS);
    d.startAndAwaitReady();
    back = new CountDownLatch(1);
  }

  @AfterMethod(alwaysRun = true)
  public void closeIdle() throws IOException {
    back.countDown();
    for (Socket s : idle) {
      s.close();
    }
    idle.clear();
  }

  private int descriptors() {
    return new File("/proc/" + d.process.pid() + "/fd").list().length;
  }

  private void loseDiscovery() throws IOException {
    Deployment.await("a watch", () -> !d.watches.isEmpty());
    d.keepDiscoverySilent(back);
    d.breakWatches();
  }

  private void fill() throws IOException {
    for (int i = 0; i < IDLE; i++) {
      idle.add(Deployment.connect(d.listen));
    }
  }

  @Test
  public void serversAndOperatorsAreReachedAndClientsAreServed() throws IOException {
    loseDiscovery();
    fill();
    for (int section = 0; section < 6; section++) {
      assertEquals(d.ask("slot-search", "beside" + section, section).status(), 200);
    }
    assertTrue(d.order("health").startsWith("200"));
    assertTrue(descriptors() <= SOCKETS, descriptors() + " descriptors");
  }

  /** Guards against a watch that is not taken up again since idle clients hold what it needs. */
  @Test
  public void whatDiscoveryTellsAtItsReturnIsHeededInTime() throws IOException {
    loseDiscovery();
    fill();
    int watched = d.watches.size();
    back.countDown();
    long from = System.nanoTime();
    StandIn leaves = d.servers.get(2);
    Deployment.await("a fresh watch", () -> d.watches.size() > watched);
    d.tell(leaves, "draining");
    assertTrue(System.nanoTime() - from < TOLD_WITHIN, "the watch came too late");
    Deployment.await(
        "it is heeded",
        () -> {
          try {
            int before = leaves.heads.size();
            return d.ask("slot-search", "w" + System.nanoTime(), 1, 2).status() == 200
                && leaves.heads.size() == before;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    int before = d.log.all().size();
    for (int i = 0; i < 10; i++) {
      assertEquals(d.ask("slot-search", "x" + i, 1, 2).status(), 200);
    }
    assertTrue(d.log.all().size() > before);
    assertTrue(descriptors() <= SOCKETS, descriptors() + " descriptors");
  }
}
