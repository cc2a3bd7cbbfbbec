package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.endpoint;
import static bitternpulley.policy.PolicyHarness.shards;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.QueryClassBuilder;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a query is rejected or failed at once if no server can take one of its parts in time,
 * and that the query waits if a known event may change that.
 */
class UnattainableQueryTest {
  /** An objective of 2,000 ms and a deadline of 6,000 ms, with a payoff for late answers. */
  private static PolicyHarnessBuilder builder(Consumer<QueryClassBuilder> changes) {
    return PolicyHarness.builder()
        .queryClass(
            queryClass -> queryClass.latencyObjective(2000).deadline(6000).latePriorityWeight(0.3))
        .queryClass(changes);
  }

  /** A policy that has received answers from the servers of shard 2, and has no results yet. */
  private static PolicyHarness harness(Consumer<QueryClassBuilder> changes) {
    PolicyHarness harness = builder(changes).build();
    for (int i = 0; i < 30; i++) {
      harness.query(100 + i, 6000, shards(2));
      harness.advanceBy(100);
      harness.endAttempt(10L * (100 + i), 0, Router.Outcome.OK);
    }
    harness.results.clear();
    return harness;
  }

  private static PolicyHarness harness() {
    return harness(queryClass -> {});
  }

  /** Changes the state of both servers of shard 0. */
  private static void setStateOfShard0Servers(PolicyHarness harness, Router.ServerState state) {
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s0", 0, state, 0), endpoint("s1", 1, state, 0));
  }

  private static void removeSecondServerOfShard0(PolicyHarness harness) {
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES, endpoint("s1", 1, Router.ServerState.GONE, 0));
  }

  private static String rejectedNow(PolicyHarness harness, long query) {
    return "reject " + query + " @" + (long) harness.now;
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.3})
  void rejectsAtOnceWhileBothReplicasAreDraining(double latePriorityWeight) {
    PolicyHarness harness =
        harness(queryClass -> queryClass.latePriorityWeight(latePriorityWeight));
    setStateOfShard0Servers(harness, Router.ServerState.DRAINING);
    harness.query(1, 6000, shards(0));
    assertEquals(List.of(rejectedNow(harness, 1)), harness.results);
    harness.query(2, 1586, shards(0, 2));
    assertEquals(rejectedNow(harness, 2), harness.results.get(1));
  }

  /** A new instance cannot distinguish a client's retry from a first attempt. */
  @Test
  void rejectsAtOnceOnANewInstance() {
    PolicyHarness harness = builder(queryClass -> {}).build();
    setStateOfShard0Servers(harness, Router.ServerState.GONE);
    harness.query(1, 1586, shards(0, 2));
    assertEquals(List.of("reject 1 @0"), harness.results);
  }

  @Test
  void rejectsAnAdmittedQueryOnceItsLastReplicaIsDraining() {
    PolicyHarness harness = harness();
    harness.query(1, 6000, shards(0, 2));
    double drainedAt = harness.now;
    setStateOfShard0Servers(harness, Router.ServerState.DRAINING);
    harness.endAttempt(10, 0, Router.Outcome.REJECTED);
    harness.advanceTo(drainedAt + 50);
    assertEquals(1, harness.results.size());
    assertTrue(harness.results.get(0).startsWith("reject 1 @"), harness.results.toString());
    assertTrue(harness.cancellations.contains("11/0"), "the other part of the query is cancelled");
  }

  /** It is not known to be safe to retry a keyed part that may have run. */
  @Test
  void failsAtOnceWhenAPartMayHaveRun() {
    PolicyHarness harness =
        harness(queryClass -> queryClass.idempotency(Settings.Idempotency.KEYED));
    harness.query(1, 6000, shards(0));
    double drainedAt = harness.now;
    setStateOfShard0Servers(harness, Router.ServerState.DRAINING);
    harness.endAttempt(10, 0, Router.Outcome.ERROR);
    harness.advanceTo(drainedAt + 50);
    assertTrue(harness.results.get(0).startsWith("fail 1 @"), harness.results.toString());
  }

  @Test
  void waitsForTheTrialRequestToAnUnreachableReplica() {
    PolicyHarness harness = harness();
    removeSecondServerOfShard0(harness);
    harness.query(1, 6000, shards(0));
    harness.endAttempt(10, 0, Router.Outcome.UNREACHABLE);
    harness.query(2, 6000, shards(0));
    assertEquals(List.of(), harness.results);
    harness.advanceBy(1000);
    assertTrue(harness.sentCount(10) + harness.sentCount(20) >= 2, "sent once the trial is due");
  }

  @Test
  void waitsForAReplicaWithAFullQueue() {
    PolicyHarness harness = harness();
    removeSecondServerOfShard0(harness);
    harness.query(1, 6000, shards(0));
    harness.endAttempt(10, 0, Router.Outcome.REJECTED);
    harness.advanceBy(600);
    assertEquals(2, harness.sentCount(10));
    assertEquals(List.of(), harness.results);
  }

  /** Other queries use up the slow-start budget, which grows again as its window passes. */
  @Test
  void waitsForTheSlowStartBudgetOfAReplica() {
    PolicyHarness harness = harness();
    harness.updateEndpoints(
        Router.EndpointListKind.CHANGES,
        endpoint("s0", 0, Router.ServerState.LIVE, harness.now),
        endpoint("s1", 1, Router.ServerState.GONE, 0));
    for (int i = 1; i <= 12; i++) {
      harness.query(i, 6000, shards(0));
    }
    long sent = sentOfTwelveQueries(harness);
    assertTrue(sent < 12, "the budget is used up: " + sent);
    assertEquals(List.of(), harness.results);
    harness.advanceBy(1500);
    assertTrue(sentOfTwelveQueries(harness) > sent);
  }

  private static long sentOfTwelveQueries(PolicyHarness harness) {
    return harness.sends.stream().filter(send -> send.part() >= 10 && send.part() <= 120).count();
  }

  @Test
  void answersInPartWhenTheAttainablePartsSuffice() {
    PolicyHarness harness = harness(queryClass -> queryClass.minimumShare(0.7));
    setStateOfShard0Servers(harness, Router.ServerState.DRAINING);
    harness.query(1, 6000, shards(0, 2), 0.2, 0.8);
    assertEquals(List.of(), harness.results);
    harness.advanceBy(100);
    harness.endAttempt(11, 0, Router.Outcome.OK);
    harness.advanceBy(2000);
    assertTrue(harness.results.get(0).startsWith("partial 1 @"), harness.results.toString());
    assertFalse(harness.results.stream().anyMatch(result -> result.startsWith("reject")));
  }

  @Test
  void endsAtTheClientTimeoutMinusTheDelayOfThisInstance() {
    PolicyHarness harness = harness();
    double receivedAt = harness.now;
    harness.policy.onQuery(
        new Router.Query(
            1,
            1,
            0,
            1,
            0,
            false,
            6000,
            0,
            Router.Terms.CLASS_DEFAULT,
            new Router.Lateness(150, 100)),
        harness.now,
        harness);
    harness.parts(1, 10, shards(0));
    harness.advanceTo(receivedAt + 6000);
    assertEquals(List.of("reject 1 @" + (long) (receivedAt + 6000 - 250)), harness.results);
  }
}
