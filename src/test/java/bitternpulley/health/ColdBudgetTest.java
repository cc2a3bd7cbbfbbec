package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Settings;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ColdBudgetTest {
  private static ColdBudget budget(int self, int instances) {
    ColdBudget cold =
        new ColdBudget(
            new Settings(
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
                new Settings.Rules(0.2, 17_000, 2, 1000, false, 0, 0, 1000),
                new Settings.Costs(0, 0)));
    cold.startedAt(0);
    return cold;
  }

  @Test
  void aServerStartedLongAgoTakesAnything() {
    ColdBudget cold = budget(0, 100);
    assertEquals(1, cold.warmth(20_000));
    assertTrue(cold.allows(5000, true, 1, 20_000));
  }

  @Test
  void theBudgetIsUsedUpAndOpensAsTheWindowPasses() {
    ColdBudget cold = budget(0, 1);
    cold.sent(100, 600);
    assertFalse(
        cold.allows(200, false, 1, 200),
        "2 x 0.2 x 0.9 of a core in 1,000 ms, a little more by then");
    double opens = cold.opensAt(200, false, 1, 200, 5000);
    assertTrue(opens > 600 && opens <= 1450, "opens at " + opens);
    assertEquals(Double.POSITIVE_INFINITY, cold.opensAt(200, false, 1, 200, 400));
  }

  /**
   * What is foretold comes true if nothing is sent meanwhile, and nothing is let in much sooner
   * than foretold.
   */
  @Property(tries = 300)
  void opensWhenForetold(
      @ForAll @IntRange(max = 99) int self,
      @ForAll @IntRange(min = 1, max = 200) int instances,
      @ForAll @DoubleRange(min = 1, max = 400) double work,
      @ForAll @DoubleRange(max = 9000) double now,
      @ForAll boolean canWait) {
    ColdBudget cold = budget(self % instances, instances);
    cold.sent(now, work);
    double opens = cold.opensAt(work, canWait, 1, now, now + 9000);
    for (double at = now; at < Math.min(opens, now + 9000); at += 250) {
      assertFalse(
          cold.allows(work, canWait, 1, at) && at < opens, "open at " + at + ", foretold " + opens);
    }
    assertTrue(opens == Double.POSITIVE_INFINITY || cold.allows(work, canWait, 1, opens));
  }
}
