package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.faultinjection.Callers;
import bitternpulley.faultinjection.Cluster;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Five processes that share what cold servers bear by leases, under load, with faults between them:
 * all parts together are looked at each time, and what cold servers were sent at the end.
 */
public class LeasesProcessTest {
  private static final int NODES = 5;
  private static final double PATIENCE = 30_000;
  private static final double ROUNDING = 1e-6;
  private Cluster c;
  private Callers callers;

  @BeforeClass
  public void start() throws Exception {
    c =
        new Cluster(
            "leases-test",
            NODES,
            1,
            "membership(deployment = 'test')\nleases(lasts_s = 4)\n",
            "mvn test -Dtest=LeasesProcessTest");
    callers = new Callers(c, 1, 60);
    until("all have a fifth", Map.of(0, 0.2, 1, 0.2, 2, 0.2, 3, 0.2, 4, 0.2));
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    if (c != null) {
      c.close();
    }
  }

  /** Waits until these parts hold, and never sees all together take more than the whole. */
  private void until(String what, Map<Integer, Double> parts)
      throws IOException, InterruptedException {
    c.until(
        what,
        PATIENCE,
        () -> {
          try {
            Map<Integer, Double> now = c.parts();
            assertTrue(
                now.values().stream().mapToDouble(p -> p).sum() <= 1 + ROUNDING,
                "all together: " + now);
            return now.keySet().equals(parts.keySet())
                && now.entrySet().stream()
                    .allMatch(e -> Math.abs(e.getValue() - parts.get(e.getKey())) < ROUNDING);
          } catch (IOException e) {
            return false;
          }
        });
  }

  @Test
  public void thePartOfTheKilledGoesToTheOthersAndBackToItsNextProcess() throws Exception {
    callers.disturbed(4);
    c.does("kill n4");
    until("the others have a quarter", Map.of(0, 0.25, 1, 0.25, 2, 0.25, 3, 0.25));
    c.does("cold s2");
    c.does("renew n4");
    callers.well(4);
    until("all have a fifth again", Map.of(0, 0.2, 1, 0.2, 2, 0.2, 3, 0.2, 4, 0.2));
  }

  @Test(dependsOnMethods = "thePartOfTheKilledGoesToTheOthersAndBackToItsNextProcess")
  public void ofTwoSidesOfACutOnlyTheGreaterSpends() throws Exception {
    c.does("cut n0,n1 = n2,n3,n4");
    c.does("cold s0");
    until("the greater side has all", Map.of(0, 0.0, 1, 0.0, 2, 1 / 3.0, 3, 1 / 3.0, 4, 1 / 3.0));
    c.does("cold s3");
    c.does("heal n0,n1 = n2,n3,n4");
    until("all have a fifth after the cut", Map.of(0, 0.2, 1, 0.2, 2, 0.2, 3, 0.2, 4, 0.2));
  }

  @Test(dependsOnMethods = "ofTwoSidesOfACutOnlyTheGreaterSpends")
  public void oneThatStoodStillHasNothingUntilItHasAskedAnew() throws Exception {
    callers.disturbed(3);
    c.does("pause n3");
    Thread.sleep(6000); // longer than its leases last: that this time passes is what is tested
    c.does("resume n3");
    assertEquals(c.members(3).path("lease").path("part").asDouble(), 0.0);
    c.does("cold s5");
    until("it has its part again", Map.of(0, 0.2, 1, 0.2, 2, 0.2, 3, 0.2, 4, 0.2));
    callers.well(3);
  }

  @Test(dependsOnMethods = "oneThatStoodStillHasNothingUntilItHasAskedAnew")
  public void noRuleWasBrokenAndEveryQueryHadItsOneAnswer() throws Exception {
    callers.end();
    assertEquals(c.fleet().rules().breaches(), List.of());
    assertEquals(callers.lost(), List.of());
    assertEquals(callers.extra(), 0);
    for (String cold : List.of("s2", "s0", "s3")) {
      assertTrue(c.fleet().rules().coldWork(cold) > 0, cold + " was left idle while cold");
    }
  }
}
