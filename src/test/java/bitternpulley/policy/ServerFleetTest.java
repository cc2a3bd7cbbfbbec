package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.endpoint;
import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.routing.Router;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests which servers the fleet keeps, and that a server that returns is used. */
class ServerFleetTest {
  @Test
  void removesGoneServersWithoutAttemptsInFlight() {
    ServerFleet fleet = new ServerFleet(PolicyHarness.builder().buildSettings(), new Random(7));
    for (int i = 0; i < 100; i++) {
      fleet.update(endpoint("n" + i, i, Router.ServerState.GONE, 0));
    }
    TrackedServer busy = fleet.update(endpoint("busy", 0, Router.ServerState.GONE, 0));
    busy.addInFlight(new AttemptState(null, busy, 0, 0));
    fleet.prune();
    assertEquals(List.of(busy), List.copyOf(fleet.servers()));
    assertEquals(List.of(busy), fleet.serversForShard(0));
  }

  @Test
  void sendsPartsToAServerThatReturns() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.deadline(9000).latePriorityWeight(0.3))
            .build();
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s0", 0, Router.ServerState.GONE, 0));
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s0", 0, Router.ServerState.LIVE, 0));
    harness.query(1, 9000, shards(0));
    assertEquals(1, harness.sends.size());
  }
}
