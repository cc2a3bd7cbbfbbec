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
 * More idle clients than the program has descriptors, while discovery does not answer. Descriptors
 * must remain for requests, for slot servers, for the admin endpoint and for discovery.
 */
public class DescriptorsProcessTest extends ProcessTest {
  private static final int DESCRIPTOR_LIMIT = 160;
  private static final int IDLE_CLIENTS = 400;

  /** Limit on the time from when discovery answers again to when its lists are in use. */
  private static final long WATCH_RESUME_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(6);

  private final List<Socket> idleClients = new ArrayList<>();
  private CountDownLatch discoveryReleased;

  @BeforeMethod
  @Override
  public void start() throws IOException {
    deployment = new Deployment();
    ((ObjectNode) deployment.config().path("limits")).put("sockets", DESCRIPTOR_LIMIT);
    deployment.startAndAwaitReady();
    discoveryReleased = new CountDownLatch(1);
  }

  @AfterMethod(alwaysRun = true)
  public void closeIdleClients() throws IOException {
    discoveryReleased.countDown();
    for (Socket client : idleClients) {
      client.close();
    }
    idleClients.clear();
  }

  private int openDescriptors() {
    return new File("/proc/" + deployment.process.pid() + "/fd").list().length;
  }

  private void silenceDiscovery() throws IOException {
    Deployment.await("a watch", () -> !deployment.discovery.watchTargets.isEmpty());
    deployment.discovery.withholdInitialList(discoveryReleased);
    deployment.discovery.closeWatches();
  }

  private void connectIdleClients() throws IOException {
    for (int i = 0; i < IDLE_CLIENTS; i++) {
      idleClients.add(TestClient.connect(deployment.listenAddress));
    }
  }

  @Test
  public void servesClientsAndAdminDespiteIdleClients() throws IOException {
    silenceDiscovery();
    connectIdleClients();
    for (int shard = 0; shard < 6; shard++) {
      assertEquals(deployment.sendQuery("slot-search", "beside" + shard, shard).status(), 200);
    }
    assertTrue(deployment.callAdmin("health").startsWith("200"));
    assertTrue(openDescriptors() <= DESCRIPTOR_LIMIT, openDescriptors() + " descriptors");
  }

  /** Guards against a watch that cannot be reopened because idle clients use all descriptors. */
  @Test
  public void resumesWatchInTimeDespiteIdleClients() throws IOException {
    silenceDiscovery();
    connectIdleClients();
    int watchesBefore = deployment.discovery.watchTargets.size();
    discoveryReleased.countDown();
    long releasedAt = System.nanoTime();
    FakeSlotServer drained = deployment.servers.get(2);
    Deployment.await("a new watch", () -> deployment.discovery.watchTargets.size() > watchesBefore);
    deployment.discovery.announce(drained, "draining");
    assertTrue(
        System.nanoTime() - releasedAt < WATCH_RESUME_LIMIT_NANOS, "the watch came too late");
    Deployment.await(
        "the drain to take effect",
        () -> {
          int requestsBefore = drained.requests.size();
          return queryStatus("w", 1, 2) == 200 && drained.requests.size() == requestsBefore;
        });
    int attemptsBefore = deployment.attemptLog.all().size();
    for (int i = 0; i < 10; i++) {
      assertEquals(deployment.sendQuery("slot-search", "x" + i, 1, 2).status(), 200);
    }
    assertTrue(deployment.attemptLog.all().size() > attemptsBefore);
    assertTrue(openDescriptors() <= DESCRIPTOR_LIMIT, openDescriptors() + " descriptors");
  }
}
