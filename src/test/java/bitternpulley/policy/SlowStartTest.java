package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.endpoint;
import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how much work is sent to a server that has just started. */
class SlowStartTest {
  private static void restartFirstServer(PolicyHarness harness) {
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s0", 0, Router.ServerState.LIVE, harness.now));
  }

  @Test
  void limitsARestartedServerToThisInstancesShareOfWork() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().replicas(1).build();
    harness.observeTwoCores(100);
    harness.answerQuery(1, 100);
    harness.advanceBy(2000);
    restartFirstServer(harness);
    harness.sends.clear();
    for (int i = 0; i < 20; i++) {
      harness.query(100 + i, 3000, shards(0));
    }
    // The budget is 2 x 0.2 x 1.8 cores x 1000 ms for two instances: 360 ms for each, three parts
    // of 100 ms.
    assertEquals(3, harness.sends.size());
  }

  /**
   * The undivided budget is 2 x 0.2 x 1.8 cores x 1000 ms for two instances: 6 parts of 60 ms for
   * each.
   */
  @ParameterizedTest
  @CsvSource({"NONE, 6, false, false", "PREDECESSOR, 4, false, true", "SUCCESSOR, 1, true, true"})
  void dividesLimitsBetweenTheProcessesOfAHotRestart(
      Router.HotRestartRole otherProcess, int parts, boolean rejectsAt300, boolean rejectsAt900) {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().replicas(1).build();
    harness.observeTwoCores(60);
    harness.answerQueries(5, 60);
    harness.advanceBy(2000);
    harness.policy.onHotRestart(otherProcess);
    restartFirstServer(harness);
    harness.sends.clear();
    for (int i = 0; i < 30; i++) {
      harness.query(100 + i, 3000, shards(0));
    }
    assertEquals(parts, harness.sends.size());
    assertEquals(rejectsAt300, harness.policy.rejectionDelay(300).isPresent());
    assertEquals(rejectsAt900, harness.policy.rejectionDelay(900).isPresent());
  }

  @Test
  void reservesSlowStartBudgetForUrgentParts() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.minimumShare(0.5))
            .hedgingAllowed()
            .replicas(1)
            .build();
    harness.observeTwoCores(100);
    harness.answerQuery(1, 100);
    harness.advanceBy(2000);
    restartFirstServer(harness);
    harness.sends.clear();
    for (int i = 0; i < 8; i++) {
      harness.query(100 + i, 3000, shards(0, 1));
    }
    assertEquals(
        2,
        harness.sends.stream().filter(send -> send.server().equals("s0")).count(),
        "fewer than the three parts allowed if they are urgent");
  }

  /**
   * All instances together may send 2 x 0.2 x 1.8 cores x 1000 ms in the first window, which is
   * seven parts of 100 ms. Since the server warms up meanwhile, nine turns begin in that window; at
   * 1000 ms the first of them has just ended.
   */
  @Test
  void letsInstancesTakeTurnsAtAStartingServer() {
    assertEquals(8, instancesThatSendAtAge(1000, true));
    assertEquals(1, instancesThatSendAtAge(50, true));
  }

  @Test
  void assumesOneCoreOfAStartingServerWithoutObservations() {
    assertEquals(4, instancesThatSendAtAge(1000, false));
  }

  /**
   * Number of instances that send their part, if each of 60 has one part for a server of this age.
   */
  private static int instancesThatSendAtAge(double ageMs, boolean hasTwoCores) {
    int senders = 0;
    for (int self = 0; self < 60; self++) {
      senders += sendsAtAge(self, ageMs, hasTwoCores);
    }
    return senders;
  }

  private static int sendsAtAge(int self, double ageMs, boolean hasTwoCores) {
    PolicyHarness harness =
        PolicyHarness.builder()
            .replicas(1)
            .settings(settings -> settings.selfIndex(self).instances(60))
            .build();
    if (hasTwoCores) {
      harness.observeTwoCores(100);
    }
    harness.advanceBy(100);
    restartFirstServer(harness);
    harness.advanceBy(ageMs);
    harness.query(1, 3000, shards(0));
    return harness.sends.size();
  }

  @Test
  void keepsAServerWarmAfterAConnectTimeout() {
    assertEquals(6, sentAfterUnreachable(250));
  }

  @Test
  void restartsSlowStartAfterARefusedConnection() {
    assertTrue(sentAfterUnreachable(5) < 6);
  }

  /**
   * Number of parts sent at once to the only server of a shard, after an attempt that ended as
   * unreachable after {@code elapsedMs}.
   */
  private static long sentAfterUnreachable(double elapsedMs) {
    PolicyHarness harness = PolicyHarness.builder().replicas(1).build();
    harness.answerQuery(1, 100);
    harness.query(2, 3000, shards(0));
    harness.advanceBy(elapsedMs);
    harness.endAttempt(20, 0, Router.Outcome.UNREACHABLE);
    harness.advanceBy(100);
    harness.endAttempt(20, 1, Router.Outcome.OK);
    harness.sends.clear();
    harness.query(3, 3000, new int[6]);
    return harness.sends.size();
  }
}
