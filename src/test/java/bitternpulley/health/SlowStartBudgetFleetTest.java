package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.RulesBuilder;
import bitternpulley.routing.Settings;
import bitternpulley.routing.SettingsBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates in virtual time the slow-start budgets that all instances of a fleet have for one
 * server. Together the instances must not send more than the server completes. Times are in ms.
 */
class SlowStartBudgetFleetTest {
  private static final double WINDOW_MS = 1000;
  private static final double WARMUP_START_FRACTION = 0.2;
  private static final double WARMUP_MS = 17_000;
  private static final double OVERLOAD_MULTIPLE = 2;
  private static final double STEP_MS = 10;
  private static final double END_MS = 12_000;

  /**
   * Smallest share of the server's capacity that must be used when every part needs this server.
   */
  private static final double MINIMUM_USED_SHARE = 0.25;

  private final List<Double> sendTimes = new ArrayList<>();

  private static Settings settings(int self, int instances) {
    return new SettingsBuilder()
        .selfIndex(self)
        .instances(instances)
        .rules(
            new RulesBuilder()
                .warmupStartFraction(WARMUP_START_FRACTION)
                .warmupTime(WARMUP_MS)
                .overloadMultiple(OVERLOAD_MULTIPLE)
                .overloadWindow(WINDOW_MS)
                .build())
        .build();
  }

  /**
   * In each step an instance without a part receives one for the server with probability {@code
   * arrivalProbability}. The instance sends the part as soon as its budget allows.
   */
  private void simulate(int instances, double work, double arrivalProbability, long seed) {
    simulate(instances, 0, work, arrivalProbability, seed);
  }

  /**
   * Simulates a fleet in which the first {@code absent} instances are absent and their quota is
   * divided among the others.
   */
  private void simulate(
      int instances, int absent, double work, double arrivalProbability, long seed) {
    Random random = new Random(seed);
    Router.QuotaShare quota = now -> (double) instances / (instances - absent);
    List<SlowStartBudget> budgets = new ArrayList<>();
    boolean[] hasPart = new boolean[instances];
    for (int i = 0; i < instances; i++) {
      budgets.add(new SlowStartBudget(settings(i, instances), quota, new CoreEstimate()));
      budgets.get(i).recordStart(0);
    }
    for (double now = 0; now < END_MS; now += STEP_MS) {
      for (int i = absent; i < instances; i++) {
        hasPart[i] |= random.nextDouble() < arrivalProbability;
        if (hasPart[i] && budgets.get(i).allows(work, PartPriority.URGENT, 1, now)) {
          budgets.get(i).recordSent(now, work);
          sendTimes.add(now);
          hasPart[i] = false;
        }
      }
    }
  }

  /**
   * The number of parts that the overload rule permits in the window that begins at {@code from}.
   */
  private static double permittedParts(double from, double work) {
    double warmupFraction = WARMUP_START_FRACTION + (1 - WARMUP_START_FRACTION) * from / WARMUP_MS;
    return OVERLOAD_MULTIPLE
        * warmupFraction
        * new CoreEstimate().minimumCapacity()
        * WINDOW_MS
        / work;
  }

  private long sentWithin(double from) {
    return sendTimes.stream().filter(time -> time >= from && time < from + WINDOW_MS).count();
  }

  private void assertNoWindowOverloaded(double work, String scenario) {
    for (double from = 0; from + WINDOW_MS <= END_MS; from += STEP_MS) {
      double permitted = permittedParts(from, work);
      double maximum = permitted + 2 * Math.sqrt(permitted) + 2;
      assertTrue(
          sentWithin(from) <= maximum,
          scenario + ": " + sentWithin(from) + " parts sent from " + from + ", at most " + maximum);
    }
  }

  private void assertCapacityUsed(double work) {
    double capacity = 0;
    for (double from = 0; from < END_MS; from += WINDOW_MS) {
      capacity += permittedParts(from, work) / OVERLOAD_MULTIPLE;
    }
    assertTrue(
        sendTimes.size() > MINIMUM_USED_SHARE * capacity,
        sendTimes.size() + " parts sent of " + capacity + " that the server could process");
  }

  @ParameterizedTest
  @CsvSource({
    "2, 8",
    "10, 40",
    "25, 40",
    "30, 8",
    "30, 40",
    "120, 40",
    "120, 8",
    "530, 40",
    "530, 8",
    "25, 160",
    "530, 160"
  })
  void instancesThatAlwaysHaveAPartNeverOverloadTheServer(int instances, double work) {
    simulate(instances, work, 1, 3);
    assertNoWindowOverloaded(work, instances + " instances that always have a part");
    double permitted = 0;
    for (double from = 0; from + WINDOW_MS <= END_MS; from += WINDOW_MS) {
      // The window of a budget ends when a part is sent.
      permitted += permittedParts(from + WINDOW_MS, work);
    }
    assertTrue(
        sendTimes.size() <= permitted + instances,
        sendTimes.size() + " parts sent in total, permitted " + permitted);
  }

  @ParameterizedTest
  @CsvSource({"2, 8", "10, 40", "25, 40", "30, 40", "120, 40", "120, 8", "530, 40", "530, 8"})
  void instancesThatSometimesHaveAPartNeitherOverloadTheServerNorLeaveItIdle(
      int instances, double work) {
    for (long seed = 1; seed <= 3; seed++) {
      sendTimes.clear();
      simulate(instances, work, STEP_MS / work / instances, seed);
      assertNoWindowOverloaded(
          work, instances + " instances with the work of one core in total, seed " + seed);
      assertCapacityUsed(work);
    }
  }

  /** In a large fleet some instances are always absent. */
  @ParameterizedTest
  @CsvSource({"10, 1, 40", "30, 3, 40", "120, 1, 8", "530, 8, 8", "530, 8, 40", "530, 90, 40"})
  void remainingInstancesNeitherOverloadTheServerNorLeaveItIdle(
      int instances, int absent, double work) {
    simulate(instances, absent, work, 1, 5);
    assertNoWindowOverloaded(work, absent + " of " + instances + " absent");
    assertCapacityUsed(work);
  }
}
