package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the handling of single events. */
class RoutingPolicyTest {
  @Test
  void reschedulesAnAlarmThatFiresEarly() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.query(1, 500.0005, shards(0));
    // All alarms fire slightly early once; an alarm that is scheduled again fires on time.
    harness.advanceTo(496.9);
    harness.deliverAllAlarmsAt(497.0);
    assertTrue(harness.results.isEmpty());
    harness.advanceTo(600);
    assertEquals(List.of("reject 1 @497"), harness.results);
  }

  @Test
  void ignoresEventsOfUnknownQueriesAndParts() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.policy.onAlarm("q999", 0, harness);
    harness.policy.onClientDisconnected(999, 0, harness);
    harness.policy.onAttemptEnded(
        new Router.AttemptEnded(999, 0, "s0", Router.Outcome.OK, 1), 0, harness);
    harness.policy.onPart(new Router.Part(5, 999, 0, 1, 0), 0, harness);
    harness.updateEndpoints(Router.EndpointListKind.COMPLETE);
    harness.updateEndpoints(Router.EndpointListKind.FAILED);
    harness.query(1, 3000, shards(0));
    harness.advanceTo(5000);
    assertEquals(List.of("reject 1 @0"), harness.results);
  }
}
