package bitternpulley.policy;

import static bitternpulley.policy.PolicyHarness.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests queries with one part for each shard of a large fleet. */
class ManyPartsTest {
  /** Number of measurements, of which the lowest counts, to exclude other load on the machine. */
  private static final int ROUNDS = 20;

  /**
   * Upper bound of the cost per part of a large query, as a multiple of the cost per part of a
   * small query. Reviewing all parts at each answer would make it 8.
   */
  private static final double MAX_COST_RATIO = 4;

  private static PolicyHarness harnessWithFleet(int cells) {
    PolicyHarness harness =
        PolicyHarness.builder()
            .layout(new Settings.Layout(cells, cells, 2, 1))
            .limits(limits -> limits.maxPending(100_000))
            .buildWithoutServers();
    harness.updateEndpoints(
        Router.EndpointListKind.PERSISTED,
        IntStream.range(0, cells)
            .mapToObj(cell -> endpoint("s" + cell, cell, Router.ServerState.LIVE, 0))
            .toArray(Router.Endpoint[]::new));
    return harness;
  }

  private static PolicyHarness harnessWithQueryOfAllShards(int cells) {
    PolicyHarness harness = harnessWithFleet(cells);
    harness.query(1, 3000, IntStream.range(0, cells).toArray());
    return harness;
  }

  /** CPU time in ns, per part, to handle the answers to a query with one part for each shard. */
  private static double costPerPart(int partCount) {
    double lowest = Double.POSITIVE_INFINITY;
    for (int round = 0; round < ROUNDS; round++) {
      lowest = Math.min(lowest, (double) costOfAllAnswers(partCount));
    }
    return lowest / partCount;
  }

  private static long costOfAllAnswers(int partCount) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    PolicyHarness harness = harnessWithQueryOfAllShards(partCount);
    List<PolicyHarness.Send> sends = List.copyOf(harness.sends);
    assertEquals(partCount, sends.size());
    harness.now = 20;
    long before = threads.getCurrentThreadCpuTime();
    for (PolicyHarness.Send send : sends) {
      harness.policy.onAttemptEnded(
          new Router.AttemptEnded(send.part(), 0, send.server(), Router.Outcome.OK, 20),
          harness.now,
          harness);
      harness.policy.completeBatch(harness.now, harness);
    }
    long cost = threads.getCurrentThreadCpuTime() - before;
    assertEquals(List.of("complete 1 @20"), harness.results);
    return cost;
  }

  @Test
  void costPerAnswerDoesNotGrowWithTheNumberOfParts() {
    costPerPart(1000);
    costPerPart(2000);
    double small = costPerPart(250);
    double large = costPerPart(2000);
    assertTrue(
        large < MAX_COST_RATIO * small,
        large + " ns per part of 2,000 parts, " + small + " ns per part of 250 parts");
  }

  @Test
  void retriesAFailedPartOfALargeQueryAtOnce() {
    PolicyHarness harness = harnessWithQueryOfAllShards(60);
    harness.advanceTo(5);
    harness.endAttempt(11, 0, Router.Outcome.OK);
    harness.endAttempt(17, 0, Router.Outcome.ERROR);
    assertEquals(61, harness.sends.size());
    PolicyHarness.Send last = harness.sends.get(60);
    assertEquals(new PolicyHarness.Send(17, last.server(), 5, last.timeout()), last);
  }
}
