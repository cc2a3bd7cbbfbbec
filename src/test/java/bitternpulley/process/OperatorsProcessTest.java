package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.FakeSlotServer.Behavior;
import bitternpulley.process.TestClient.Reply;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** The admin endpoint of the real program, and its reactions to operators' signals. */
public class OperatorsProcessTest extends ProcessTest {
  private int readinessStatus() throws IOException {
    return TestClient.exchange(deployment.listenAddress, "GET /-/ready HTTP/1.1\r\n\r\n", "")
        .status();
  }

  /** Guards against callers that block others by sending nothing or too much. */
  @Test
  public void answersAdminCallsDespiteSilentAndInvalidCallers() throws IOException {
    List<Socket> silentCallers = new ArrayList<>();
    try {
      for (int i = 0; i < 40; i++) {
        silentCallers.add(TestClient.connect(deployment.adminAddress));
      }
      assertTrue(deployment.callAdmin("health").startsWith("200"));
      for (String invalidCall :
          List.of(
              "cordon nobody", "uncordon nobody", "cordon", "health now", "  ", "x".repeat(600))) {
        assertTrue(deployment.callAdmin(invalidCall).startsWith("400"), invalidCall);
      }
    } finally {
      for (Socket caller : silentCallers) {
        caller.close();
      }
    }
  }

  /**
   * Guards against a server that is used while it is cordoned, or stays unused once it is
   * uncordoned.
   */
  @Test
  public void sendsNothingToCordonedServerWhateverDiscoveryAnnounces() throws IOException {
    FakeSlotServer cordoned = deployment.servers.get(1);
    deployment.callAdminExpectingOk("cordon s1");
    deployment.callAdminExpectingOk("cordon s1");
    cordoned.drainingSinceNanos = System.nanoTime();
    int requestsBefore = cordoned.requests.size();
    deployment.discovery.announce(cordoned, "removed");
    deployment.discovery.announce(cordoned, "up");
    // Once this takes effect, the announcements before it have taken effect as well.
    deployment.discovery.announce(deployment.servers.get(4), "removed");
    deployment.servers.get(3).behavior = (index, shard) -> Behavior.ERROR;
    Deployment.await("the removal to take effect", () -> queryStatus("w", 3) != 200);
    for (int i = 0; i < 10; i++) {
      assertEquals(queryStatus("c" + i, 0, 1), 200);
    }
    assertEquals(cordoned.requests.size(), requestsBefore);
    cordoned.drainingSinceNanos = 0;
    deployment.callAdminExpectingOk("uncordon s1");
    Deployment.await(
        "the server to be used again",
        () -> queryStatus("u", 0, 1) == 200 && cordoned.requests.size() > requestsBefore);
  }

  /** Guards against overrides that are lost at a restart, and files that prevent a start. */
  @Test
  public void keepsOverridesAcrossRestartAndStartsWithUnreadableFile() throws Exception {
    deployment.callAdminExpectingOk("cordon s1");
    deployment.process.destroyForcibly().waitFor();
    deployment.startAndAwaitReady();
    deployment.servers.get(1).drainingSinceNanos = System.nanoTime();
    for (int i = 0; i < 10; i++) {
      assertEquals(queryStatus("k" + i, 0, 1), 200);
    }
    assertEquals(deployment.servers.get(1).requests.size(), 0);
    Files.write(deployment.folder().resolve("bitternpulley-orders"), new byte[] {-1, 0, 7});
    deployment.process.destroyForcibly().waitFor();
    deployment.startAndAwaitReady();
    Deployment.await(
        "the log line",
        () ->
            deployment.output.stream()
                .anyMatch(line -> line.contains("Cannot read operator overrides")));
    deployment.servers.get(1).drainingSinceNanos = 0;
    deployment.callAdminExpectingOk("cordon s2");
    assertEquals(
        Files.readString(deployment.folder().resolve("bitternpulley-orders")), "cordoned s2\n");
  }

  /** Guards against quiescing that keeps client connections open, or interrupts requests. */
  @Test
  public void servesRequestsAndClosesConnectionsWhileQuiesced() throws IOException {
    try (Socket idle = TestClient.connect(deployment.listenAddress);
        Socket connected = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(idle, TestClient.queryRequest("slot-search", "first", 4, 0));
      assertEquals(TestClient.readReply(idle).status(), 200);
      deployment.callAdminExpectingOk("quiesce");
      assertEquals(readinessStatus(), 503);
      TestClient.send(connected, TestClient.queryRequest("slot-search", "kept", 4, 0));
      Reply reply = TestClient.readReply(connected);
      assertEquals(reply.status(), 200);
      assertEquals(reply.headers().get("connection"), "close");
      long repliedAt = System.nanoTime();
      assertEquals(idle.getInputStream().read(), -1);
      assertTrue(System.nanoTime() - repliedAt < 2e9, "well before the usual 5 s");
      assertEquals(queryStatus("late", 3), 200);
      assertTrue(deployment.callAdmin("health").startsWith("200"));
      deployment.callAdminExpectingOk("resume");
      assertEquals(readinessStatus(), 200);
    }
  }

  /**
   * Guards against a program that silently keeps the old address of discovery because its parent
   * process ignored SIGHUP.
   */
  @Test
  public void logsIgnoredSighupAndReloadsThroughAdmin() throws Exception {
    deployment.close();
    deployment = new Deployment().startWithSighupIgnored().awaitReady();
    assertTrue(
        deployment.output.stream().anyMatch(line -> line.contains("SIGHUP is ignored")),
        deployment.output.toString());
    Deployment.await("a watch", () -> !deployment.discovery.watchTargets.isEmpty());
    String oldConfig = deployment.config().toString();
    deployment.moveDiscovery();
    int watchesBefore = deployment.discovery.watchTargets.size();
    deployment.reloadBySighup(deployment.config().toString());
    deployment.writeConfig("{");
    String reply = deployment.callAdmin("reload");
    assertTrue(reply.startsWith("400") && reply.contains("LB_CONFIG"), reply);
    deployment.writeConfig(oldConfig.replace("\"discovery\":\"127", "\"discovery\":\"here"));
    reply = deployment.callAdmin("reload");
    assertTrue(reply.startsWith("400") && reply.contains("'discovery'"), reply);
    assertEquals(
        deployment.discovery.watchTargets.size(),
        watchesBefore,
        "a rejected configuration does not move the watch");
    deployment.writeConfig(deployment.config().toString());
    deployment.callAdminExpectingOk("reload");
    Deployment.await(
        "a watch at the new address of discovery",
        () -> deployment.discovery.watchTargets.size() > watchesBefore);
    assertEquals(queryStatus("on", 0, 1), 200);
  }

  /**
   * Guards against a hot restart that fails requests, loses overrides or ends the log together with
   * the socket.
   */
  @Test
  public void hotRestartFailsNoRequestAndKeepsOverrides() throws Exception {
    deployment.close();
    deployment = new Deployment().holdListenSocket();
    ProcessHandle oldProcess = deployment.startOnHeldSocket();
    String oldAdminAddress = deployment.adminAddress;
    deployment.callAdminExpectingOk("cordon s1");
    deployment.servers.get(1).drainingSinceNanos = System.nanoTime();
    setShardBehavior(2, Behavior.SILENT);
    try (Socket pending = TestClient.connect(deployment.listenAddress);
        Socket idle = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(idle, TestClient.queryRequest("slot-search", "idle", 4, 3));
      assertEquals(TestClient.readReply(idle).headers().get("connection"), null);
      TestClient.send(pending, TestClient.queryRequest("slot-search", "held", 4.5, 2));
      Deployment.await("the query to be sent", () -> deployment.attemptLog.all().size() == 2);
      deployment.startOnHeldSocket();
      deployment.callAdminExpectingOk("cordon s4");
      int requestsBefore = deployment.servers.get(4).requests.size();
      oldProcess.destroy();
      Deployment.await(
          "the old process to accept no more clients", () -> rejectsHealthCall(oldAdminAddress));
      setAllServers(Behavior.SERVE);
      for (int i = 0; i < 10; i++) {
        assertEquals(queryStatus("new" + i, 0, 1, 3), 200);
      }
      Reply reply = TestClient.readReply(pending);
      assertEquals(reply.status(), 200);
      assertEquals(reply.headers().get("connection"), "close");
      assertEquals(idle.getInputStream().read(), -1);
      Deployment.await("the old process to end", () -> !oldProcess.isAlive());
      assertEquals(queryStatus("after", 0, 3), 200);
      assertEquals(deployment.servers.get(1).requests.size(), 0);
      assertEquals(deployment.servers.get(4).requests.size(), requestsBefore);
      assertTrue(
          deployment.output.stream()
              .anyMatch(line -> line.contains("Draining: graceful shutdown started")),
          "the log goes on");
    }
  }

  private boolean rejectsHealthCall(String adminAddress) {
    try {
      String currentAddress = deployment.adminAddress;
      deployment.adminAddress = adminAddress;
      String reply = deployment.callAdmin("health");
      deployment.adminAddress = currentAddress;
      return reply.startsWith("400");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Guards against two processes of a hot restart that together exceed the limits of one. */
  @Test
  public void newProcessOfHotRestartLeavesPartOfTheLimitsToTheOld() throws Exception {
    deployment.close();
    deployment = new Deployment();
    ((ObjectNode) deployment.config().at("/settings/policyLimits")).put("maxOpen", 8);
    deployment.holdListenSocket().startOnHeldSocket();
    setAllServers(Behavior.SILENT);
    try (Socket first = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(first, TestClient.queryRequest("slot-search", "first", 4, 0, 1, 2, 3, 4, 5));
      Deployment.await("six pending parts", () -> deployment.attemptLog.all().size() == 6);
      assertEquals(
          queryStatus("second", 0, 1, 2, 3, 4, 5), 429, "7 exceed its part of the limit of 8");
      assertEquals(deployment.attemptLog.all().size(), 6);
    }
  }
}
