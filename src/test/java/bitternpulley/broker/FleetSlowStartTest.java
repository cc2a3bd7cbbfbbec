package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.Router;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests the load that a fleet of aggregators puts on a server that is warming up. */
public class FleetSlowStartTest {
  /**
   * Time at which the server restarts. By then, all instances have observed that servers process
   * two parts in parallel.
   */
  private static final double RESTART_TIME = 16_000;

  private static final double OBSERVATION_TIME = 8000;
  private static final double CORES = 2;

  /**
   * Minimum share of the server's capacity that must be used while one of its shards has no other
   * live server.
   */
  private static final double MIN_USED_SHARE = 0.25;

  @Test
  public void neitherOverloadsAServerThatWarmsUpNorLeavesItIdle() {
    FleetHarness fleet = new FleetHarness();
    int requests = fleet.scheduleRequests(new Random(5), 8, RESTART_TIME + OBSERVATION_TIME);
    fleet.run(RESTART_TIME);
    fleet.submitToAll(
        TestServers.change(
            TestServers.server(3, Router.ServerState.LIVE, fleet.now()),
            TestServers.server(4, Router.ServerState.DRAINING, 0)));
    fleet.run(RESTART_TIME + 10_000);
    assertEquals(fleet.answered(), requests);
    for (double time = RESTART_TIME; time < RESTART_TIME + OBSERVATION_TIME; time += 500) {
      double capacity = capacity(time - RESTART_TIME);
      double sent = fleet.maxWorkInWindow("s3", time, time + FleetHarness.OVERLOAD_WINDOW);
      assertTrue(
          sent <= capacity,
          "server was sent " + sent + " ms of work at " + time + ", its capacity is " + capacity);
    }
    double used = fleet.maxWorkInWindow("s3", RESTART_TIME, RESTART_TIME + 2000);
    assertTrue(
        used > MIN_USED_SHARE * capacity(0),
        "server was sent " + used + " ms of work at first, its capacity is " + capacity(0));
  }

  /**
   * Work in ms per overload window up to which a server is not overloaded, {@code sinceStart} ms
   * after its start.
   */
  private static double capacity(double sinceStart) {
    double warmup =
        FleetHarness.WARMUP_START_FRACTION
            + (1 - FleetHarness.WARMUP_START_FRACTION) * sinceStart / FleetHarness.WARMUP_TIME;
    return FleetHarness.OVERLOAD_MULTIPLE * warmup * CORES * FleetHarness.OVERLOAD_WINDOW;
  }
}
