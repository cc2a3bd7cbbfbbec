package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.endpoint;
import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which servers are avoided, and for how long. */
class OutlierDetectorTest {
  private static final double PAUSE_MS = 300;

  @Test
  void treatsNoServerAsUnresponsiveDuringAStall() {
    PolicyHarness harness = harnessWithPartsAtAllServers();
    for (int i = 0; i < 15; i++) {
      harness.advanceBy(20);
    }
    assertEquals(List.of(), harness.cancellations);
  }

  @Test
  void treatsAServerAsUnresponsiveWhileTheOthersAnswer() {
    PolicyHarness harness = harnessWithPartsAtAllServers();
    String unresponsive = harness.sends.get(0).server();
    for (int i = 0; i < 15; i++) {
      harness.advanceBy(20);
      harness.query(100 + i, 3000, shards(0, 1, 2, 3));
      List.copyOf(harness.sends).stream()
          .filter(send -> send.part() != 10 && !send.server().equals(unresponsive))
          .forEach(send -> harness.endAttempt(send.part(), 0, Router.Outcome.OK));
    }
    assertFalse(harness.cancellations.isEmpty());
  }

  private static PolicyHarness harnessWithPartsAtAllServers() {
    PolicyHarness harness = PolicyHarness.builder().build();
    harness.answerQueries(30, 20);
    harness.sends.clear();
    harness.query(1, 3000, shards(0, 1, 2, 3, 0, 1, 2, 3));
    assertEquals(4, harness.sends.stream().map(PolicyHarness.Send::server).distinct().count());
    return harness;
  }

  @Test
  void treatsNoServerAsUnresponsiveAfterAPauseOfThisProcess() {
    PolicyHarness harness = PolicyHarness.builder().build();
    harness.answerQueries(30, 20);
    harness.query(50, 3000, shards(0, 1));
    double resumedAt = harness.now + PAUSE_MS;
    harness.policy.onPause(PAUSE_MS, resumedAt);
    harness.deliverAllAlarmsAt(resumedAt);
    assertEquals(List.of(), harness.cancellations, "answers may be waiting to be read");
  }

  @Test
  void limitsThePartsAtASlowOutlierUntilItRecovers() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.latePriorityWeight(0.3))
            .replicas(1)
            .build();
    for (int i = 0; i < 30; i++) {
      harness.query(i, 3000, shards(0, 1, 2, 3));
      harness.advanceBy(100);
      for (int part = 1; part < 4; part++) {
        harness.endAttempt(i * 10L + part, 0, Router.Outcome.OK);
      }
      harness.advanceBy(i < 20 ? 400 : 100);
      harness.endAttempt(i * 10L, 0, Router.Outcome.OK);
    }
    harness.sends.clear();
    for (int i = 0; i < 20; i++) {
      harness.query(100 + i, 3000, shards(0));
    }
    // The last ten answers of s0 took 200 ms. That is below 3 times the 100 ms of the other
    // servers, but not below 1.5 times, so s0 remains a slow outlier.
    assertTrue(harness.sends.size() < 7, harness.sends.size() + " parts at once");
  }

  @Test
  void lowersTheCapacityOfASlowOutlierAfterARejection() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().replicas(1).build();
    for (int i = 1; i < 40; i++) {
      harness.query(i, 3000, shards(i % 4 == 0 ? 0 : 1));
      harness.advanceBy(i % 4 == 0 ? 300 : 10);
      harness.endAttempt(i * 10L, 0, Router.Outcome.OK);
    }
    harness.query(50, 3000, shards(0));
    harness.endAttempt(500, 0, Router.Outcome.REJECTED);
    harness.sends.clear();
    harness.advanceBy(500);
    for (int i = 51; i < 57; i++) {
      harness.query(i, 3000, shards(0));
    }
    assertEquals(1, harness.sends.size(), harness.sends.toString());
  }

  @Test
  void ejectsAServerThatRefusesConnections() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.query(1, 3000, shards(0));
    String refusing = harness.sends.get(0).server();
    harness.endAttempt(10, 0, Router.Outcome.UNREACHABLE);
    harness.endAttempt(10, 1, Router.Outcome.OK);
    harness.sends.clear();
    harness.query(2, 3000, shards(0, 0, 0));
    assertTrue(harness.sends.stream().noneMatch(send -> send.server().equals(refusing)));
  }

  @Test
  void usesAnOutlierWhenAllReplicasAreOutliers() {
    PolicyHarness harness = PolicyHarness.builder().hedgingAllowed().build();
    harness.query(1, 3000, shards(0));
    for (int i = 0; i < 4; i++) {
      harness.endAttempt(10, i, Router.Outcome.ERROR);
    }
    harness.sends.clear();
    harness.query(2, 3000, shards(0));
    assertEquals(1, harness.sends.size());
  }

  @Test
  void countsACancelledAttemptAgainstAnUnresponsiveServer() {
    PolicyHarness harness = PolicyHarness.builder().build();
    harness.answerQuery(1, 20);
    harness.query(2, 3000, shards(0));
    String unresponsive = harness.sends.get(harness.sends.size() - 1).server();
    harness.advanceBy(2900);
    harness.endAttempt(20, 0, Router.Outcome.CANCELLED);
    harness.sends.clear();
    harness.query(3, 3000, new int[40]);
    assertEquals(40, harness.sends.size());
    assertTrue(harness.sends.stream().noneMatch(send -> send.server().equals(unresponsive)));
  }

  @Test
  void triesAServerWithAFullQueueAgainAfterAPause() {
    PolicyHarness harness = PolicyHarness.builder().replicas(1).build();
    harness.answerQueries(4, 20);
    harness.query(90, 3000, shards(0));
    harness.endAttempt(900, 0, Router.Outcome.REJECTED);
    harness.query(91, 3000, shards(0));
    assertEquals(0, harness.sentCount(910), "must not be sent at once");
    harness.advanceBy(250);
    assertEquals(1, harness.sentCount(910));
    assertTrue(
        harness.results.stream().noneMatch(result -> result.startsWith("reject")),
        harness.results.toString());
  }

  @Test
  void keepsUsingAServerAfterOneReset() {
    PolicyHarness harness = PolicyHarness.builder().replicas(1).build();
    harness.answerQueries(4, 20);
    harness.query(90, 3000, shards(0));
    harness.endAttempt(900, 0, Router.Outcome.RESET);
    harness.query(91, 3000, shards(0));
    assertEquals(1, harness.sentCount(910));
    assertEquals(2, harness.sentCount(900), "the reset part is sent again");
  }

  @Test
  void countsTheResetsOfOneConnectionOnce() {
    PolicyHarness harness = PolicyHarness.builder().replicas(1).build();
    harness.answerQueries(4, 20);
    for (int i = 0; i < 4; i++) {
      harness.query(90 + i, 3000, shards(0));
    }
    for (int i = 0; i < 4; i++) {
      harness.endAttempt(10L * (90 + i), 0, Router.Outcome.RESET);
    }
    harness.query(95, 3000, shards(0));
    harness.advanceBy(45);
    assertFalse(
        harness.cancellations.contains("950/0"),
        "one reset connection must not make the server an outlier");
  }

  @Test
  void boundsTheUnresponsiveTimeByTheBaselineLatency() {
    PolicyHarness harness =
        PolicyHarness.builder()
            .queryClass(queryClass -> queryClass.deadline(9000).latePriorityWeight(0.3))
            .build();
    harness.answerQueries(4, 100);
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s1", 1, Router.ServerState.DRAINING, 0));
    for (int i = 0; i < 4; i++) {
      harness.query(50 + i, 9000, shards(0));
      harness.advanceBy(390);
      harness.endAttempt(10L * (50 + i), 0, Router.Outcome.OK);
    }
    harness.query(60, 9000, shards(0));
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s1", 1, Router.ServerState.LIVE, 0));
    harness.advanceBy(450);
    assertFalse(harness.cancellations.contains("600/0"));
    harness.advanceBy(300);
    assertTrue(harness.cancellations.contains("600/0"), "unresponsive after 4 x 1.5 x 100 ms");
  }
}
