package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.endpoint;
import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests to which server a part is sent. */
class ReplicaSelectorTest {
  @Test
  void spreadsPartsOverServersOfEqualLatency() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    for (int i = 0; i < 4; i++) {
      harness.answerQuery(10 + i, 100);
    }
    // Shard 0 is held by s0 and s1, which have equal latencies by now, so each of them gets one
    // part.
    harness.sends.clear();
    harness.query(50, 3000, shards(0, 0));
    assertEquals(2, harness.sends.stream().map(PolicyHarness.Send::server).distinct().count());
  }

  @Test
  void addsAPartToACallBeingAssembledWhenEachCallRequiresExtraWork() {
    assertEquals(2, serversUsedByTwoParts(16, 0));
    assertEquals(1, serversUsedByTwoParts(16, 150));
  }

  @Test
  void doesNotAddAPartToAFullCall() {
    assertEquals(2, serversUsedByTwoParts(1, 150));
  }

  /** Number of servers to which two simultaneous parts of a shard are sent. */
  private static long serversUsedByTwoParts(int maxPartsPerCall, double callWork) {
    PolicyHarness harness =
        PolicyHarness.builder()
            .hedgingAllowed()
            .layout(new Settings.Layout(4, 4, 2, maxPartsPerCall, callWork))
            .build();
    for (int i = 0; i < 4; i++) {
      harness.answerQuery(10 + i, 100);
    }
    harness.advanceBy(1);
    harness.sends.clear();
    harness.query(50, 3000, shards(0, 0));
    return harness.sends.stream().map(PolicyHarness.Send::server).distinct().count();
  }

  @Test
  void countsTheWaitOfAnUnansweredPartAsLatency() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    for (int i = 0; i < 4; i++) {
      harness.answerQuery(10 + i, 100);
    }
    harness.sends.clear();
    harness.query(60, 3000, shards(0));
    String first = harness.sends.get(0).server();
    harness.advanceBy(150);
    harness.query(61, 3000, shards(0));
    harness.query(62, 3000, shards(0));
    // The costs are 150 x 2 against 100 x 1, then 150 x 2 against 100 x 2: both parts go to the
    // other server.
    assertFalse(harness.sends.get(1).server().equals(first));
    assertFalse(harness.sends.get(2).server().equals(first));
  }

  @Test
  void sendsNothingToADrainingOrRemovedServer() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s0", 0, Router.ServerState.DRAINING, 0));
    harness.query(1, 3000, shards(0));
    assertEquals("s1", harness.sends.get(0).server());
    harness.updateEndpoints(
        Router.EndpointListKind.COMPLETE, endpoint("s0", 0, Router.ServerState.LIVE, 0));
    harness.query(2, 3000, shards(0, 1));
    // No server holds shard 1, so nothing is sent for a query that cannot be complete.
    assertEquals(List.of("reject 2 @0"), harness.results);
    harness.query(3, 3000, shards(0));
    assertEquals("s0", harness.sends.get(1).server());
    assertEquals(2, harness.sends.size());
  }

  @Test
  void assumesTheLatencyOfTheZoneForANewServer() {
    PolicyHarness harness = PolicyHarness.builder().replicas(4).build();
    // The servers of this instance's zone, s0 and s2, answer late.
    for (int i = 0; i < 30; i++) {
      long id = 100L + i;
      harness.query(id, 3000, shards(0, 0, 0, 0));
      List<PolicyHarness.Send> attempts =
          harness.sends.stream().filter(send -> send.part() / 10 == id).toList();
      harness.advanceBy(20);
      answerFrom(harness, attempts, Set.of("s1", "s3"));
      harness.advanceBy(40);
      answerFrom(harness, attempts, Set.of("s0", "s2"));
    }
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES,
        endpoint("s5", 1, Router.ServerState.LIVE, 0),
        endpoint("s6", 2, Router.ServerState.LIVE, 0));
    harness.sends.clear();
    harness.query(1, 3000, shards(0, 0, 0));
    // s6 is in the slow zone, s5 in the fast one; neither has answered yet.
    assertTrue(harness.sends.stream().anyMatch(send -> send.server().equals("s5")));
    assertTrue(harness.sends.stream().noneMatch(send -> send.server().equals("s6")));
  }

  private static void answerFrom(
      PolicyHarness harness, List<PolicyHarness.Send> sends, Set<String> servers) {
    for (PolicyHarness.Send send : sends) {
      if (servers.contains(send.server())) {
        harness.endAttempt(send.part(), 0, Router.Outcome.OK);
      }
    }
  }
}
