package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.Router;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests how a fleet of aggregators treats a server that drains. */
public class FleetDrainTest {
  private static final double DRAIN_TIME = 3000;
  private static final double END_TIME = 8000;

  @Test
  public void noInstanceSendsToADrainingServer() {
    FleetHarness fleet = new FleetHarness();
    int requests = fleet.scheduleRequests(new Random(6), 2, 6000);
    fleet.run(DRAIN_TIME);
    fleet.submitToAll(TestServers.change(TestServers.server(3, Router.ServerState.DRAINING, 0)));
    fleet.run(END_TIME);
    assertEquals(fleet.maxWorkInWindow("s3", DRAIN_TIME + 0.01, END_TIME), 0.0);
    assertTrue(fleet.unsentCancellations("s3") > 0, "unsent parts are cancelled");
    assertEquals(fleet.answered(), requests);
  }
}
