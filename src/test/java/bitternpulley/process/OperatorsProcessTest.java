package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.process.Deployment.Reply;
import bitternpulley.process.StandIn.Act;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What operators do, against the real program. */
public class OperatorsProcessTest extends ProcessTest {
  private int readiness() throws IOException {
    return Deployment.call(d.listen, "GET /-/ready HTTP/1.1\r\n\r\n", "").status();
  }

  /** Guards against callers that say nothing, or too much, and keep the others from being heard. */
  @Test
  public void theDoorAnswersWhateverOthersDoThere() throws IOException {
    List<Socket> silent = new ArrayList<>();
    try {
      for (int i = 0; i < 40; i++) {
        silent.add(Deployment.connect(d.admin));
      }
      assertTrue(d.order("health").startsWith("200"));
      for (String bad :
          List.of(
              "cordon nobody", "uncordon nobody", "cordon", "health now", "  ", "x".repeat(600))) {
        assertTrue(d.order(bad).startsWith("400"), bad);
      }
    } finally {
      for (Socket s : silent) {
        s.close();
      }
    }
  }

  /**
   * Guards against a server that is used while it is out, or left unused for good once it is let
   * back in.
   */
  @Test
  public void aCordonedServerGetsNothingWhateverDiscoveryTells() throws IOException {
    StandIn out = d.servers.get(1);
    d.mustOrder("cordon s1");
    d.mustOrder("cordon s1");
    out.drainingSince = System.nanoTime();
    int before = out.heads.size();
    d.tell(out, "removed");
    d.tell(out, "up");
    d.tell(d.servers.get(4), "removed"); // once this is heeded, so was what came before
    d.servers.get(3).act = (index, section) -> Act.ERROR;
    Deployment.await("the removal is heeded", () -> status("w", 3) != 200);
    for (int i = 0; i < 10; i++) {
      assertEquals(status("c" + i, 0, 1), 200);
    }
    assertEquals(out.heads.size(), before);
    out.drainingSince = 0;
    d.mustOrder("uncordon s1");
    Deployment.await(
        "it is used again", () -> status("u", 0, 1) == 200 && out.heads.size() > before);
  }

  private int status(String id, int... sections) {
    try {
      return d.ask("slot-search", id + System.nanoTime(), sections).status();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Guards against orders that end with the process, and against a file that keeps the program from
   * starting.
   */
  @Test
  public void ordersOutliveTheProcessAndAFileThatCannotBeReadDoesNotEndIt() throws Exception {
    d.mustOrder("cordon s1");
    d.process.destroyForcibly().waitFor();
    d.startAndAwaitReady();
    d.servers.get(1).drainingSince = System.nanoTime();
    for (int i = 0; i < 10; i++) {
      assertEquals(status("k" + i, 0, 1), 200);
    }
    assertEquals(d.servers.get(1).heads.size(), 0);
    Files.write(d.folder().resolve("bitternpulley-orders"), new byte[] {-1, 0, 7});
    d.process.destroyForcibly().waitFor();
    d.startAndAwaitReady();
    Deployment.await(
        "it is logged",
        () -> d.output.stream().anyMatch(l -> l.contains("Cannot read operator overrides")));
    d.servers.get(1).drainingSince = 0;
    d.mustOrder("cordon s2");
    assertEquals(Files.readString(d.folder().resolve("bitternpulley-orders")), "cordoned s2\n");
  }

  /**
   * Guards against clients that are held while the aggregator is to be emptied, and against cut
   * requests.
   */
  @Test
  public void aQuiescedAggregatorServesWhatComesAndKeepsNoConnection() throws IOException {
    try (Socket idle = Deployment.connect(d.listen);
        Socket kept = Deployment.connect(d.listen)) {
      idle.getOutputStream().write(Deployment.query("slot-search", "first", 4, 0).getBytes());
      assertEquals(Deployment.reply(idle).status(), 200);
      d.mustOrder("quiesce");
      assertEquals(readiness(), 503);
      kept.getOutputStream().write(Deployment.query("slot-search", "kept", 4, 0).getBytes());
      Reply last = Deployment.reply(kept);
      assertEquals(last.status(), 200);
      assertEquals(last.headers().get("connection"), "close");
      long since = System.nanoTime();
      assertEquals(idle.getInputStream().read(), -1);
      assertTrue(System.nanoTime() - since < 2e9, "long before the usual 5 s");
      assertEquals(status("late", 3), 200);
      assertTrue(d.order("health").startsWith("200"));
      d.mustOrder("resume");
      assertEquals(readiness(), 200);
    }
  }

  /**
   * Guards against a program that goes on with the old discovery without a word, where its caller
   * ignores SIGHUP.
   */
  @Test
  public void whereSighupIsIgnoredTheLogSaysSoAndTheDoorReloads() throws Exception {
    d.close();
    d = new Deployment().startWithHangupIgnored().awaitReady();
    assertTrue(
        d.output.stream().anyMatch(l -> l.contains("SIGHUP is ignored")), d.output.toString());
    Deployment.await("a watch", () -> !d.watches.isEmpty());
    String before = d.config().toString();
    d.moveDiscovery();
    int watches = d.watches.size();
    d.hangup(d.config().toString());
    d.configure("{");
    String refused = d.order("reload");
    assertTrue(refused.startsWith("400") && refused.contains("LB_CONFIG"), refused);
    d.configure(before.replace("\"discovery\":\"127", "\"discovery\":\"here"));
    refused = d.order("reload");
    assertTrue(refused.startsWith("400") && refused.contains("'discovery'"), refused);
    assertEquals(d.watches.size(), watches, "nothing that was refused moves the watch");
    d.configure(d.config().toString());
    d.mustOrder("reload");
    Deployment.await("a watch where discovery is now", () -> d.watches.size() > watches);
    assertEquals(status("on", 0, 1), 200);
  }

  /**
   * Guards against requests that an upgrade costs, orders that it forgets, and a log that ends with
   * the socket.
   */
  @Test
  public void anUpgradeCutsNoRequestAndKeepsOrders() throws Exception {
    d.close();
    d = new Deployment().holdSocket();
    ProcessHandle old = d.startBeside();
    String oldDoor = d.admin;
    d.mustOrder("cordon s1");
    d.servers.get(1).drainingSince = System.nanoTime();
    for (StandIn s : d.servers) {
      s.act = (index, section) -> section == 2 ? Act.SILENT : Act.SERVE;
    }
    try (Socket held = Deployment.connect(d.listen);
        Socket idle = Deployment.connect(d.listen)) {
      idle.getOutputStream().write(Deployment.query("slot-search", "idle", 4, 3).getBytes());
      assertEquals(Deployment.reply(idle).headers().get("connection"), null);
      held.getOutputStream().write(Deployment.query("slot-search", "held", 4.5, 2).getBytes());
      Deployment.await("it is sent", () -> d.log.all().size() == 2);
      d.startBeside();
      d.mustOrder("cordon s4");
      int before = d.servers.get(4).heads.size();
      old.destroy();
      Deployment.await(
          "the old one takes nothing more",
          () -> {
            try {
              String now = d.admin;
              d.admin = oldDoor;
              String answer = d.order("health");
              d.admin = now;
              return answer.startsWith("400");
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
      for (StandIn s : d.servers) {
        s.act = (index, section) -> Act.SERVE;
      }
      for (int i = 0; i < 10; i++) {
        assertEquals(status("new" + i, 0, 1, 3), 200);
      }
      Reply last = Deployment.reply(held);
      assertEquals(last.status(), 200);
      assertEquals(last.headers().get("connection"), "close");
      assertEquals(idle.getInputStream().read(), -1);
      Deployment.await("the old one ends", () -> !old.isAlive());
      assertEquals(status("after", 0, 3), 200);
      assertEquals(d.servers.get(1).heads.size(), 0);
      assertEquals(d.servers.get(4).heads.size(), before);
      assertTrue(
          d.output.stream().anyMatch(l -> l.contains("Draining: graceful shutdown started")),
          "the log goes on");
    }
  }

  /** Guards against two processes of an upgrade that together hold more than one may. */
  @Test
  public void aProcessThatTakesOverLeavesSomeOfTheLimitsToTheOneBefore() throws Exception {
    d.close();
    d = new Deployment();
    ((ObjectNode) d.config().at("/settings/policyLimits")).put("maxOpen", 8);
    d.holdSocket().startBeside();
    d.servers.forEach(s -> s.act = (index, section) -> Act.SILENT);
    try (Socket first = Deployment.connect(d.listen)) {
      first
          .getOutputStream()
          .write(Deployment.query("slot-search", "first", 4, 0, 1, 2, 3, 4, 5).getBytes());
      Deployment.await("six parts held", () -> d.log.all().size() == 6);
      assertEquals(status("second", 0, 1, 2, 3, 4, 5), 429, "7 are more than its part of 8");
      assertEquals(d.log.all().size(), 6);
    }
  }
}
