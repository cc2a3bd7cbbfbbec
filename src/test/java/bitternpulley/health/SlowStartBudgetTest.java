package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.RulesBuilder;
import bitternpulley.routing.SettingsBuilder;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the slow-start budget of a single instance. */
class SlowStartBudgetTest {
  private static SlowStartBudget budgetOfServerStartedAtZero(int self, int instances) {
    SlowStartBudget budget =
        new SlowStartBudget(
            new SettingsBuilder()
                .selfIndex(self)
                .instances(instances)
                .rules(
                    new RulesBuilder()
                        .warmupStartFraction(0.2)
                        .warmupTime(17_000)
                        .overloadMultiple(2)
                        .overloadWindow(1000)
                        .build())
                .build());
    budget.recordStart(0);
    return budget;
  }

  @Test
  void allowsAnyWorkAtAWarmServer() {
    SlowStartBudget budget = budgetOfServerStartedAtZero(0, 100);
    assertEquals(1, budget.warmupFraction(20_000));
    assertTrue(budget.allows(5000, PartPriority.DEFERRABLE, 1, 20_000));
  }

  @Test
  void allowsMoreWorkAsSentWorkLeavesTheWindow() {
    SlowStartBudget budget = budgetOfServerStartedAtZero(0, 1);
    budget.recordSent(100, 600);
    assertFalse(
        budget.allows(200, PartPriority.URGENT, 1, 200),
        "2 x 0.2 x 0.9 of a core per 1,000 ms, slightly more at 200 ms");
    double allowedAt = budget.nextAllowedAt(200, PartPriority.URGENT, 1, 200, 5000);
    assertTrue(allowedAt > 600 && allowedAt <= 1450, "allowed at " + allowedAt);
    assertEquals(
        Double.POSITIVE_INFINITY, budget.nextAllowedAt(200, PartPriority.URGENT, 1, 200, 400));
  }

  /**
   * If nothing is sent before the predicted time, the part is allowed at that time and not much
   * sooner.
   */
  @Property(tries = 300)
  void allowsWorkAtThePredictedTime(
      @ForAll @IntRange(max = 99) int self,
      @ForAll @IntRange(min = 1, max = 200) int instances,
      @ForAll @DoubleRange(min = 1, max = 400) double work,
      @ForAll @DoubleRange(max = 9000) double now,
      @ForAll PartPriority priority) {
    SlowStartBudget budget = budgetOfServerStartedAtZero(self % instances, instances);
    budget.recordSent(now, work);
    double predicted = budget.nextAllowedAt(work, priority, 1, now, now + 9000);
    for (double time = now; time < Math.min(predicted, now + 9000); time += 250) {
      assertFalse(
          budget.allows(work, priority, 1, time) && time < predicted,
          "allowed at " + time + ", predicted " + predicted);
    }
    assertTrue(
        predicted == Double.POSITIVE_INFINITY || budget.allows(work, priority, 1, predicted));
  }
}
