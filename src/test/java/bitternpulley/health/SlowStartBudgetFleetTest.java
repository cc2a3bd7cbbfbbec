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
 * The slow-start budgets of all instances of a fleet for one server, in virtual time: together they
 * never exceed what the server completes.
 */
class SlowStartBudgetFleetTest {
  private static final double WINDOW = 1000;
  private static final double WARMUP_START_FRACTION = 0.2;
  private static final double WARMUP_TIME = 17_000;
  private static final double OVERLOAD_MULTIPLE = 2;
  private static final double STEP = 10;
  private static final double UNTIL = 12_000;

  /** Least share of the server's capacity that is used where every part needs this server. */
  private static final double MINIMUM_USED_SHARE = 0.25;

  private final List<Double> sent = new ArrayList<>();

  private static Settings settings(int self, int instances) {
    return new SettingsBuilder()
        .self(self)
        .instances(instances)
        .rules(
            new RulesBuilder()
                .warmupStartFraction(WARMUP_START_FRACTION)
                .warmupTime(WARMUP_TIME)
                .overloadMultiple(OVERLOAD_MULTIPLE)
                .overloadWindow(WINDOW)
                .build())
        .build();
  }

  /**
   * In each step an instance without a part receives one for the server with this chance; it sends
   * the part as soon as its budget allows.
   */
  private void simulate(int instances, double work, double chance, long seed) {
    simulate(instances, 0, work, chance, seed);
  }

  /** As above, with some instances absent whose quota is divided among the others. */
  private void simulate(int instances, int absent, double work, double chance, long seed) {
    Random random = new Random(seed);
    Router.QuotaShare quota = now -> (double) instances / (instances - absent);
    List<SlowStartBudget> budgets = new ArrayList<>();
    boolean[] hasPart = new boolean[instances];
    for (int i = 0; i < instances; i++) {
      budgets.add(new SlowStartBudget(settings(i, instances), quota, new CoreEstimate()));
      budgets.get(i).recordStart(0);
    }
    for (double now = 0; now < UNTIL; now += STEP) {
      for (int i = absent; i < instances; i++) {
        hasPart[i] |= random.nextDouble() < chance;
        if (hasPart[i] && budgets.get(i).allows(work, PartPriority.URGENT, 1, now)) {
          budgets.get(i).recordSent(now, work);
          sent.add(now);
          hasPart[i] = false;
        }
      }
    }
  }

  /** Parts that the overload rule permits in the window that begins at {@code from}. */
  private static double completedParts(double from, double work) {
    double warmupFraction =
        WARMUP_START_FRACTION + (1 - WARMUP_START_FRACTION) * from / WARMUP_TIME;
    return OVERLOAD_MULTIPLE
        * warmupFraction
        * new CoreEstimate().minimumCapacity()
        * WINDOW
        / work;
  }

  private long sentWithin(double from) {
    return sent.stream().filter(time -> time >= from && time < from + WINDOW).count();
  }

  private void assertNoWindowOverloaded(double work, String what) {
    for (double from = 0; from + WINDOW <= UNTIL; from += STEP) {
      double completed = completedParts(from, work);
      double most = completed + 2 * Math.sqrt(completed) + 2;
      assertTrue(
          sentWithin(from) <= most,
          what + ": " + sentWithin(from) + " parts from " + from + ", of " + most);
    }
  }

  private void assertNotIdle(double work) {
    double processable = 0;
    for (double from = 0; from < UNTIL; from += WINDOW) {
      processable += completedParts(from, work) / OVERLOAD_MULTIPLE;
    }
    assertTrue(
        sent.size() > MINIMUM_USED_SHARE * processable,
        sent.size() + " parts were sent, and " + processable + " could be processed");
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
    double completed = 0;
    for (double from = 0; from + WINDOW <= UNTIL; from += WINDOW) {
      completed += completedParts(from + WINDOW, work); // windows end at the request
    }
    assertTrue(
        sent.size() <= completed + instances,
        sent.size() + " parts in all, and " + completed + " are completed");
  }

  @ParameterizedTest
  @CsvSource({"2, 8", "10, 40", "25, 40", "30, 40", "120, 40", "120, 8", "530, 40", "530, 8"})
  void instancesThatSometimesHaveAPartNeitherOverloadTheServerNorLeaveItIdle(
      int instances, double work) {
    for (long seed = 1; seed <= 3; seed++) {
      sent.clear();
      simulate(instances, work, STEP / work / instances, seed);
      assertNoWindowOverloaded(
          work, instances + " instances, as much work as one core does, seed " + seed);
      assertNotIdle(work);
    }
  }

  /** In a large fleet some instances are always absent. */
  @ParameterizedTest
  @CsvSource({"10, 1, 40", "30, 3, 40", "120, 1, 8", "530, 8, 8", "530, 8, 40", "530, 90, 40"})
  void remainingInstancesNeitherOverloadTheServerNorLeaveItIdle(
      int instances, int absent, double work) {
    simulate(instances, absent, work, 1, 5);
    assertNoWindowOverloaded(work, absent + " of " + instances + " absent");
    assertNotIdle(work);
  }
}
