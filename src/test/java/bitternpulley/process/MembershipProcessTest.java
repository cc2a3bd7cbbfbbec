package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.faults.Cluster;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Five processes that find out who of them is here, with faults between them; asserted over all of them. */
public class MembershipProcessTest {
  private static final int NODES = 5;
  private static final double PATIENCE = 40_000;
  private Cluster c;

  @BeforeClass
  public void start() throws Exception {
    c = new Cluster("membership-test", NODES, 1, "membership(deployment = 'test')\n", "mvn test -Dtest=MembershipProcessTest");
    c.until("all find each other", PATIENCE, () -> allAlive() && c.viewsEqual());
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    if (c != null) {
      c.close();
    }
  }

  private boolean allAlive() {
    return IntStream.range(0, NODES).allMatch(i -> c.allHold(i, "alive"));
  }

  private static long deaths(Cluster c) throws IOException {
    long deaths = 0;
    for (int i = 0; i < NODES; i++) {
      deaths += c.node(i).log().lines().filter(l -> l.contains(" is dead, was ")).count();
    }
    return deaths;
  }

  @Test
  public void oneStoppedForThreeSecondsIsNotCalledDead() throws Exception {
    long before = deaths(c);
    c.pause(1);
    TimeUnit.SECONDS.sleep(3);
    c.resume(1);
    c.until("all alive and agreed", PATIENCE, () -> allAlive() && c.viewsEqual());
    assertEquals(deaths(c), before);
    assertTrue(c.node(1).log().contains("this instance did not run for "), c.node(1).log());
  }

  @Test(dependsOnMethods = "oneStoppedForThreeSecondsIsNotCalledDead")
  public void lossAndOneWayCutsKillNobody() throws Exception {
    long before = deaths(c);
    c.all("lose a fifth, delay, repeat, garble", p -> p.lose(0.2).delay(5, 60).repeat(0.1).garble(0.05));
    c.cut(0, 1, true);
    TimeUnit.SECONDS.sleep(6);
    c.all("heal", p -> p.heal());
    c.until("all alive and agreed", PATIENCE, () -> allAlive() && c.viewsEqual());
    assertEquals(deaths(c), before);
  }

  @Test(dependsOnMethods = "lossAndOneWayCutsKillNobody")
  public void theKilledIsKnownToAllAndItsRestartIsAnotherProcess() throws Exception {
    long epoch = c.members(0).path("members").get(2).path("epoch").asLong();
    c.kill(2);
    c.until("all know", PATIENCE, () -> c.allHold(2, "dead"));
    assertTrue(IntStream.of(0, 1, 3, 4).allMatch(i -> c.allHold(i, "alive")));
    c.restart(2, true);
    c.until("back", PATIENCE, () -> c.allHold(2, "alive") && c.viewsEqual());
    assertTrue(c.members(0).path("members").get(2).path("epoch").asLong() > epoch);
  }

  @Test(dependsOnMethods = "theKilledIsKnownToAllAndItsRestartIsAnotherProcess")
  public void aMinorityCutOffJudgesNobody() throws Exception {
    List<Integer> cut = List.of(3, 4);
    long before = c.node(3).log().lines().filter(l -> l.contains(" is dead, was ")).count();
    c.cutOff(cut, true);
    c.until("the majority knows", PATIENCE, () -> IntStream.range(0, 3).allMatch(i -> {
      try {
        return c.state(i, 3).equals("dead") && c.state(i, 4).equals("dead");
      } catch (IOException e) {
        return false;
      }
    }));
    c.cutOff(cut, false);
    c.until("all alive and agreed", PATIENCE, () -> allAlive() && c.viewsEqual());
    assertEquals(c.node(3).log().lines().filter(l -> l.contains(" is dead, was ")).count(), before, c.node(3).log());
  }
}
