package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which connections attempts use, and what happens to attempts when their query ends. */
class AttemptDispatcherTest {
  @Test
  void opensANewConnectionToALongIdleServer() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().replicas(1).build();
    harness.answerQuery(1, 50);
    harness.closedConnections.clear();
    harness.advanceBy(100);
    harness.query(2, 3000, shards(0));
    assertTrue(harness.closedConnections.isEmpty());
    harness.advanceBy(50);
    harness.endAttempt(20, 0, Router.Outcome.OK);
    harness.advanceBy(5000);
    harness.query(3, 3000, shards(0));
    assertEquals(List.of("s0"), harness.closedConnections);
  }

  @Test
  void keepsIdleConnectionsWhenHandshakesAreCharged() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .hedgingAllowed()
            .replicas(1)
            .settings(settings -> settings.costs(new Settings.Costs(0, 0.02)))
            .build();
    harness.answerQuery(1, 50);
    harness.advanceBy(5000);
    harness.query(3, 3000, shards(0));
    assertEquals(List.of(), harness.closedConnections);
  }

  @Test
  void keepsIdleConnectionsWhenNewConnectionsFail() {
    PolicyHarness harness = PolicyHarness.builder().replicas(1).build();
    harness.answerQuery(1, 20);
    for (int i = 0; i < 4; i++) {
      harness.advanceBy(1000);
      harness.query(10 + i, 3000, shards(0));
      harness.advanceBy(250);
      harness.endAttempt(10L * (10 + i), 0, Router.Outcome.UNREACHABLE);
      harness.advanceBy(2000);
      harness.endAttempt(10L * (10 + i), 1, Router.Outcome.OK);
    }
    harness.closedConnections.clear();
    harness.advanceBy(1000);
    harness.query(20, 3000, shards(0));
    assertEquals(List.of(), harness.closedConnections);
  }

  @Test
  void doesNotAnswerADisconnectedClient() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.query(1, 3000, shards(0));
    harness.policy.onClientDisconnected(1, 10, harness);
    harness.policy.onAttemptEnded(
        new Router.AttemptEnded(10, 0, "s0", Router.Outcome.OK, 10), 10, harness);
    harness.policy.completeBatch(10, harness);
    assertTrue(harness.results.isEmpty());
    assertEquals(1, harness.sends.size());
  }

  @Test
  void endsAQueryOnceAtTheClientTimeout() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.idempotency(Settings.Idempotency.NON_IDEMPOTENT))
            .hedgingAllowed()
            .build();
    harness.query(1, 500, shards(0));
    harness.advanceTo(500);
    harness.endAttempt(10, 0, Router.Outcome.TIMEOUT);
    assertEquals(List.of("fail 1 @497"), harness.results);
    assertEquals(1, harness.sends.size());
  }
}
