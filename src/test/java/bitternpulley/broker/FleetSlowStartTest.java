package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.Router;
import java.util.Random;
import org.testng.annotations.Test;

/** How a whole fleet loads a server that is warming up. */
public class FleetSlowStartTest {
  /** When the server restarts: by then all have seen that servers run two parts at once. */
  private static final double RESTART = 16_000;

  private static final double OBSERVED = 8000;
  private static final double CORES = 2;

  /** Share of its capacity to be used while the server alone holds a shard. */
  private static final double MIN_USED_SHARE = 0.25;

  @Test
  public void allInstancesTogetherNeitherOverloadAWarmingServerNorLeaveItIdle() {
    FleetHarness fleet = new FleetHarness();
    int requests = fleet.planRequests(new Random(5), 8, RESTART + OBSERVED);
    fleet.run(RESTART);
    fleet.submitToAll(
        TestServers.change(
            TestServers.server(3, Router.ServerState.LIVE, fleet.now()),
            TestServers.server(4, Router.ServerState.DRAINING, 0)));
    fleet.run(RESTART + 10_000);
    assertEquals(fleet.answered(), requests);
    for (double time = RESTART; time < RESTART + OBSERVED; time += 500) {
      double capacity = capacity(time - RESTART);
      double sent = fleet.mostWork("s3", time, time + FleetHarness.OVERLOAD_WINDOW);
      assertTrue(
          sent <= capacity,
          "at " + time + " it was sent " + sent + " ms of work, of a capacity of " + capacity);
    }
    double used = fleet.mostWork("s3", RESTART, RESTART + 2000);
    assertTrue(
        used > MIN_USED_SHARE * capacity(0),
        "of " + capacity(0) + " ms of work at first it was sent " + used);
  }

  /** Ms of work within the window that do not overload a server, so many ms after its start. */
  private static double capacity(double sinceStart) {
    double warmup =
        FleetHarness.WARMUP_START_FRACTION
            + (1 - FleetHarness.WARMUP_START_FRACTION) * sinceStart / FleetHarness.WARMUP_TIME;
    return FleetHarness.OVERLOAD_MULTIPLE * warmup * CORES * FleetHarness.OVERLOAD_WINDOW;
  }
}
