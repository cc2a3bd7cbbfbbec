package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The budgets of all instances of a fleet for one cold server, in virtual time: together they never
 * exceed what it bears.
 */
class ColdBudgetFleetTest {
  private static final double WINDOW = 1000;
  private static final double COLD_FROM = 0.2;
  private static final double COLD_TIME = 17_000;
  private static final double MULTIPLE = 2;
  private static final double STEP = 10;
  private static final double UNTIL = 12_000;

  /**
   * Share of what the server does just then that is to be used where all that is asked for goes to
   * it alone.
   */
  private static final double USED = 0.25;

  private final List<Double> sent = new ArrayList<>();

  private static Settings settings(int self, int instances) {
    return new Settings(
        self,
        instances,
        0,
        1,
        false,
        List.of(),
        List.of(),
        1,
        false,
        new Settings.Layout(4, 4, 2, 1),
        new Settings.Limits(4, 1000, true, false, true, 500, 250),
        new Settings.Rules(COLD_FROM, COLD_TIME, MULTIPLE, WINDOW, false, 0, 0, 1000),
        new Settings.Costs(0, 0));
  }

  /**
   * Each instance has a part for the server with such a chance in each step, and waits with it
   * until it may send it.
   */
  private void play(int instances, double work, double chance, long seed) {
    play(instances, 0, work, chance, seed);
  }

  /**
   * As above, where so many of the instances are away and the leases have divided the whole among
   * the others.
   */
  private void play(int instances, int away, double work, double chance, long seed) {
    Random random = new Random(seed);
    Router.QuotaShare portion = now -> (double) instances / (instances - away);
    List<ColdBudget> budgets = new ArrayList<>();
    boolean[] waits = new boolean[instances];
    for (int i = 0; i < instances; i++) {
      budgets.add(new ColdBudget(settings(i, instances), portion, new CoreEstimate()));
      budgets.get(i).startedAt(0);
    }
    for (double now = 0; now < UNTIL; now += STEP) {
      for (int i = away; i < instances; i++) {
        waits[i] |= random.nextDouble() < chance;
        if (waits[i] && budgets.get(i).allows(work, false, 1, now)) {
          budgets.get(i).sent(now, work);
          sent.add(now);
          waits[i] = false;
        }
      }
    }
  }

  /**
   * Parts that a server of the cores that the budget is sure of bears in a window that begins then.
   */
  private static double bears(double from, double work) {
    double warm = COLD_FROM + (1 - COLD_FROM) * from / COLD_TIME;
    return MULTIPLE * warm * new CoreEstimate().sure() * WINDOW / work;
  }

  private long within(double from) {
    return sent.stream().filter(t -> t >= from && t < from + WINDOW).count();
  }

  private void assertBorne(double work, String what) {
    for (double from = 0; from + WINDOW <= UNTIL; from += STEP) {
      double bears = bears(from, work);
      double most = bears + 2 * Math.sqrt(bears) + 2;
      assertTrue(
          within(from) <= most,
          what + ": " + within(from) + " parts from " + from + ", of " + most);
    }
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
  void allThatAlwaysHaveAPartForItNeverExceedWhatItBears(int instances, double work) {
    play(instances, work, 1, 3);
    assertBorne(work, instances + " instances that always have a part");
    double total = 0;
    for (double from = 0; from + WINDOW <= UNTIL; from += WINDOW) {
      total += bears(from + WINDOW, work); // a budget's windows end where it is asked
    }
    assertTrue(
        sent.size() <= total + instances,
        sent.size() + " parts in all, and " + total + " are borne");
  }

  @ParameterizedTest
  @CsvSource({"2, 8", "10, 40", "25, 40", "30, 40", "120, 40", "120, 8", "530, 40", "530, 8"})
  void allThatSometimesHaveAPartForItNeitherExceedWhatItBearsNorLeaveItIdle(
      int instances, double work) {
    for (long seed = 1; seed <= 3; seed++) {
      sent.clear();
      play(instances, work, STEP / work / instances, seed);
      assertBorne(work, instances + " instances, as much work as one core does, seed " + seed);
      double done = 0;
      for (double from = 0; from < UNTIL; from += WINDOW) {
        done += bears(from, work) / MULTIPLE;
      }
      assertTrue(
          sent.size() > USED * done,
          sent.size() + " parts were sent, and " + done + " could be done");
    }
  }

  /**
   * Guards against a cold server that nobody uses since one of very many instances is away, as on
   * any ordinary day.
   */
  @ParameterizedTest
  @CsvSource({"10, 1, 40", "30, 3, 40", "120, 1, 8", "530, 8, 8", "530, 8, 40", "530, 90, 40"})
  void whereSomeAreAwayTheOthersNeitherExceedWhatItBearsNorLeaveItIdle(
      int instances, int away, double work) {
    play(instances, away, work, 1, 5);
    assertBorne(work, away + " of " + instances + " away");
    double done = 0;
    for (double from = 0; from < UNTIL; from += WINDOW) {
      done += bears(from, work) / MULTIPLE;
    }
    assertTrue(
        sent.size() > USED * done,
        sent.size() + " parts were sent, and " + done + " could be done");
  }
}
