package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.Router;
import java.util.Random;
import org.testng.annotations.Test;

/** How a whole fleet treats a server that drains. */
public class FleetDrainTest {
  private static final double DRAIN = 3000;
  private static final double END = 8000;

  @Test
  public void noInstanceSendsToADrainingServer() {
    FleetHarness fleet = new FleetHarness();
    int requests = fleet.planRequests(new Random(6), 2, 6000);
    fleet.run(DRAIN);
    fleet.submitToAll(TestServers.change(TestServers.server(3, Router.ServerState.DRAINING, 0)));
    fleet.run(END);
    assertEquals(fleet.mostWork("s3", DRAIN + 0.01, END), 0.0);
    assertTrue(fleet.unsentCancellations("s3") > 0, "unsent parts are cancelled");
    assertEquals(fleet.answered(), requests);
  }
}
