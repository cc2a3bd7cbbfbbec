package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.FakeSlotServer.Behavior;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How the real program uses the endpoint lists that discovery announces. */
public class DiscoveryProcessTest extends ProcessTest {
  /** Guards against a discovery instance that sends older lists than the previous instance. */
  @Test
  public void ignoresOlderRevision() throws IOException {
    FakeSlotServer removed = deployment.servers.get(1);
    deployment.discovery.announce(removed, "removed");
    deployment.discovery.announceAtRevision(40, removed, "up");
    // Once this takes effect, the announcements before it have taken effect as well.
    deployment.discovery.announce(deployment.servers.get(4), "removed");
    deployment.servers.get(3).behavior = (index, shard) -> Behavior.ERROR;
    Deployment.await("the second removal to take effect", () -> queryStatus("o", 3) != 200);
    int requestsBefore = removed.requests.size();
    for (int i = 0; i < 10; i++) {
      assertEquals(deployment.sendQuery("slot-search", "n" + i, 0, 1).status(), 200);
    }
    assertEquals(removed.requests.size(), requestsBefore);
  }

  @Test
  public void sendsNothingToDrainingServerAndReopensWatch() throws IOException {
    FakeSlotServer draining = deployment.servers.get(1);
    deployment.discovery.announce(draining, "draining");
    // A query that is answered without this server shows that the announcement has been read.
    Deployment.await(
        "the drain to take effect",
        () -> {
          int requestsBefore = draining.requests.size();
          boolean served = queryStatus("p", 0, 1) == 200;
          return served && draining.requests.size() == requestsBefore;
        });
    draining.drainingSinceNanos = System.nanoTime();
    int requestsBefore = draining.requests.size();
    for (int i = 0; i < 20; i++) {
      assertEquals(deployment.sendQuery("slot-search", "d" + i, 0, 1).status(), 200);
    }
    assertEquals(draining.requests.size(), requestsBefore);
    deployment.discovery.closeWatches();
    Deployment.await(
        "a watch from the last revision",
        () ->
            deployment.discovery.watchTargets.stream()
                .anyMatch(target -> target.contains("watch=1&from=42")));
    draining.drainingSinceNanos = 0;
    deployment.discovery.announce(draining, "up");
    deployment.servers.stream()
        .filter(server -> server != draining)
        .forEach(server -> server.behavior = (index, shard) -> Behavior.ERROR);
    Deployment.await("the server to be used again", () -> queryStatus("u", 0, 1) == 200);
  }

  @DataProvider
  public Object[][] handshakeCosts() {
    return new Object[][] {{0.0}, {0.02}};
  }

  /**
   * Guards against attempts that are sent according to the endpoint list of the configuration,
   * which may be outdated, before the initial list of discovery has been read.
   */
  @Test(dataProvider = "handshakeCosts")
  public void sendsNothingBeforeInitialListOfDiscovery(double handshakeCost) throws Exception {
    deployment.close();
    deployment = new Deployment();
    ((ObjectNode) deployment.config().path("settings"))
        .putObject("costs")
        .put("handshake", handshakeCost);
    // The server is in the zone of the program, which would therefore prefer it.
    deployment.discovery.initialList =
        () -> {
          // As slow as an overloaded discovery, but within the time that a start waits for a list.
          LockSupport.parkNanos(350_000_000);
          return FakeDiscovery.endpointList(false, List.of(deployment.servers.get(2)), "draining")
              .put("revision", 42);
        };
    deployment.start();
    Deployment.await(
        "the first answer",
        () -> {
          try {
            return deployment.sendQuery("slot-search", "first" + System.nanoTime(), 1, 2).status()
                == 200;
          } catch (IOException e) {
            return false; // the program does not listen yet
          }
        });
    for (int i = 0; i < 10; i++) {
      assertEquals(deployment.sendQuery("slot-search", "next" + i, 1, 2).status(), 200);
    }
    assertEquals(deployment.servers.get(2).requests.size(), 0);
  }

  /**
   * A discovery that took over a second to answer was asked again each second and never heard, so
   * that work went on to a server that drains.
   */
  @Test
  public void stopsSendingToServerThatASlowDiscoveryListsAsDraining() throws Exception {
    deployment.close();
    deployment = new Deployment();
    FakeSlotServer draining = deployment.servers.get(2);
    deployment.discovery.answerDelayNanos = 1_200_000_000;
    deployment.discovery.initialList =
        () -> FakeDiscovery.endpointList(false, List.of(draining), "draining").put("revision", 42);
    deployment.startAndAwaitReady();
    long readyAt = System.nanoTime();
    Deployment.await("the drain to take effect", () -> serveTwentyQueriesWithout(draining));
    long ms = (System.nanoTime() - readyAt) / 1_000_000;
    assertTrue(ms < 6000, "the list counts as received 6 s after the start, not " + ms + " ms");
  }

  /** Whether twenty queries of the server's shards are served and none is sent to it. */
  private boolean serveTwentyQueriesWithout(FakeSlotServer server) {
    int requestsBefore = server.requests.size();
    for (int i = 0; i < 20; i++) {
      if (queryStatus("w", 1, 2) != 200) {
        return false;
      }
    }
    return server.requests.size() == requestsBefore;
  }

  /** Guards against a watch that stays silent while its endpoint list counts as up to date. */
  @Test
  public void reopensSilentWatch() {
    Deployment.await("a second watch", () -> deployment.discovery.watchTargets.size() >= 2);
  }

  /** Guards against a list that is ignored as a whole because of one invalid entry. */
  @Test
  public void skipsInvalidEntryOfEndpointList() throws IOException {
    deployment.servers.get(1).behavior = (index, shard) -> Behavior.ERROR;
    deployment.servers.get(3).behavior = (index, shard) -> Behavior.ERROR;
    deployment.discovery.announce(deployment.servers.get(1), "melting");
    deployment.discovery.announce(deployment.servers.get(2), "removed");
    Deployment.await("the removal to take effect", () -> queryStatus("r", 1, 2) != 200);
  }

  /** Guards against SIGHUP ending the program, and a watch that stays at the old address. */
  @Test
  public void movesWatchOnSighupAndKeepsEndpointState() throws Exception {
    deployment.discovery.announce(deployment.servers.get(1), "removed");
    setAllServers(Behavior.SILENT);
    try (Socket client = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(client, TestClient.queryRequest("slot-search", "held", 4.0, 2));
      Deployment.await("the query to be sent", () -> deployment.attemptLog.all().size() == 1);
      int watchesBefore = deployment.discovery.watchTargets.size();
      deployment.moveDiscovery();
      deployment.reloadBySighup(deployment.config().toString());
      Deployment.await(
          "a watch from the last revision received",
          () -> {
            List<String> targets = deployment.discovery.watchTargets;
            return targets.size() > watchesBefore
                && targets.get(targets.size() - 1).contains("from=42");
          });
      setAllServers(Behavior.SERVE);
      assertEquals(TestClient.readReply(client).status(), 200, "a pending request goes on");
    }
    assertEquals(
        deployment.sendQuery("slot-search", "without", 0, 1).status(),
        200,
        "the removal stays in force");
    assertTrue(deployment.servers.get(1).requests.isEmpty());
    deployment.discovery.announce(deployment.servers.get(2), "removed");
    Deployment.await(
        "an answer without the removed server",
        () -> {
          int requestsBefore = deployment.servers.get(2).requests.size();
          return queryStatus("m", 2) == 200
              && deployment.servers.get(2).requests.size() == requestsBefore;
        });
  }
}
