package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.faultinjection.Cluster;
import bitternpulley.faultinjection.QueryClients;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Five processes under load share the capacity of cold servers by leases, with faults between them.
 * While a test waits, it checks that the quotas of all processes add up to at most 1. The last test
 * checks the work that cold servers were sent.
 */
public class LeasesProcessTest {
  private static final int NODES = 5;
  private static final double WAIT_TIMEOUT_MS = 30_000;
  private static final double ROUNDING_TOLERANCE = 1e-6;
  private Cluster cluster;
  private QueryClients clients;

  @BeforeClass
  public void start() throws Exception {
    cluster =
        new Cluster(
            "leases-test",
            NODES,
            1,
            "membership(deployment = 'test')\nleases(lasts_s = 4)\n",
            "mvn test -Dtest=LeasesProcessTest");
    clients = new QueryClients(cluster, 1, 60);
    awaitQuotas("all have a fifth each", Map.of(0, 0.2, 1, 0.2, 2, 0.2, 3, 0.2, 4, 0.2));
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    if (cluster != null) {
      cluster.close();
    }
  }

  /** Waits for these quotas, and checks meanwhile that their sum never exceeds 1. */
  private void awaitQuotas(String what, Map<Integer, Double> expectedQuotas)
      throws IOException, InterruptedException {
    cluster.awaitCondition(
        what,
        WAIT_TIMEOUT_MS,
        () -> {
          try {
            Map<Integer, Double> quotas = cluster.leaseQuotas();
            assertTrue(
                quotas.values().stream().mapToDouble(quota -> quota).sum()
                    <= 1 + ROUNDING_TOLERANCE,
                "the sum of the quotas of all processes exceeds 1: " + quotas);
            return quotas.keySet().equals(expectedQuotas.keySet())
                && quotas.entrySet().stream()
                    .allMatch(
                        entry ->
                            Math.abs(entry.getValue() - expectedQuotas.get(entry.getKey()))
                                < ROUNDING_TOLERANCE);
          } catch (IOException e) {
            return false;
          }
        });
  }

  @Test
  public void redistributesShareOfKilledProcessAndReturnsItAfterRestart() throws Exception {
    clients.beginDisturbance(4);
    cluster.applyFault("kill n4");
    awaitQuotas("the others have a quarter each", Map.of(0, 0.25, 1, 0.25, 2, 0.25, 3, 0.25));
    cluster.applyFault("cold s2");
    cluster.applyFault("renew n4");
    clients.endDisturbance(4);
    awaitQuotas("all have a fifth each again", Map.of(0, 0.2, 1, 0.2, 2, 0.2, 3, 0.2, 4, 0.2));
  }

  @Test(dependsOnMethods = "redistributesShareOfKilledProcessAndReturnsItAfterRestart")
  public void onlyTheMajoritySideOfAPartitionHasShares() throws Exception {
    cluster.applyFault("cut n0,n1 = n2,n3,n4");
    cluster.applyFault("cold s0");
    awaitQuotas(
        "the majority side has all", Map.of(0, 0.0, 1, 0.0, 2, 1 / 3.0, 3, 1 / 3.0, 4, 1 / 3.0));
    cluster.applyFault("cold s3");
    cluster.applyFault("heal n0,n1 = n2,n3,n4");
    awaitQuotas(
        "all have a fifth each after the partition",
        Map.of(0, 0.2, 1, 0.2, 2, 0.2, 3, 0.2, 4, 0.2));
  }

  @Test(dependsOnMethods = "onlyTheMajoritySideOfAPartitionHasShares")
  public void pausedProcessHasNoShareUntilItsNewLeases() throws Exception {
    clients.beginDisturbance(3);
    cluster.applyFault("pause n3");
    Thread.sleep(6000); // longer than its leases last, which is what this test is about
    cluster.applyFault("resume n3");
    assertEquals(cluster.members(3).path("lease").path("part").asDouble(), 0.0);
    cluster.applyFault("cold s5");
    awaitQuotas(
        "the paused process has its share again", Map.of(0, 0.2, 1, 0.2, 2, 0.2, 3, 0.2, 4, 0.2));
    clients.endDisturbance(3);
  }

  @Test(dependsOnMethods = "pausedProcessHasNoShareUntilItsNewLeases")
  public void breaksNoRuleAndAnswersEveryQueryOnce() throws Exception {
    clients.stop();
    assertEquals(cluster.fleet().ruleCheck().firstViolations(), List.of());
    assertEquals(clients.lostQueryDescriptions(), List.of());
    assertEquals(clients.countExtraAnswers(), 0);
    for (String cold : List.of("s2", "s0", "s3")) {
      assertTrue(
          cluster.fleet().ruleCheck().warmupWorkMs(cold) > 0,
          cold + " got no work while it was cold");
    }
  }
}
