package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the estimate of the work of a part when its query does not state it. */
class WorkEstimateTest {
  @Test
  void loadDoesNotRaiseTheEstimate() {
    WorkEstimate estimate = new WorkEstimate();
    assertEquals(50, estimate.estimate(50), "no answer yet");
    for (int i = 0; i < 200; i++) {
      estimate.recordAnswer(60);
      if (i % 4 == 0) {
        estimate.recordSoleRequestAnswer(18);
      } else {
        estimate.recordAnswer(18);
      }
    }
    assertEquals(18, estimate.estimate(55), 0.5);
    estimate.recordSoleRequestAnswer(5000);
    assertEquals(18, estimate.estimate(55), 0.5, "a single slow answer hardly counts");
    assertEquals(15, estimate.estimate(15), "never more than the baseline");
  }

  /**
   * An overload of 1,000 answers to sole requests, about ten seconds, raises the estimate by less
   * than a quarter. A lasting change is adopted.
   */
  @Test
  void overloadHardlyRaisesTheEstimate() {
    WorkEstimate estimate = new WorkEstimate();
    for (int i = 0; i < 100; i++) {
      estimate.recordSoleRequestAnswer(14);
    }
    for (int i = 0; i < 1000; i++) {
      estimate.recordSoleRequestAnswer(60);
    }
    assertTrue(
        estimate.estimate(80) < 14 * 1.25,
        "overload raised the estimate to " + estimate.estimate(80));
    for (int i = 0; i < 10_000; i++) {
      estimate.recordSoleRequestAnswer(60);
    }
    assertEquals(60, estimate.estimate(80), 1, "a lasting change is adopted");
  }

  @Test
  void aFewQuickAnswersDoNotLowerTheEstimate() {
    WorkEstimate estimate = new WorkEstimate();
    for (int i = 0; i < 10; i++) {
      estimate.recordSoleRequestAnswer(i < 2 ? 4 : 20);
    }
    assertTrue(estimate.estimate(50) >= 8, "estimated work " + estimate.estimate(50));
    for (int i = 0; i < 60; i++) {
      estimate.recordSoleRequestAnswer(i % 4 == 0 ? 5 : 25);
    }
    assertTrue(estimate.estimate(50) >= 8, "estimated work " + estimate.estimate(50));
  }
}
