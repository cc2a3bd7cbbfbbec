package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WorkEstimateTest {
  /**
   * Guards against a budget that shrinks with load: what waits behind other parts tells nothing of
   * its work.
   */
  @Test
  void loadDoesNotStretchIt() {
    WorkEstimate estimate = new WorkEstimate();
    assertEquals(50, estimate.work(50), "nothing was heard yet");
    for (int i = 0; i < 200; i++) {
      estimate.answered(60, false);
      estimate.answered(18, i % 4 == 0);
    }
    assertEquals(18, estimate.work(55), 0.5);
    estimate.answered(5000, true);
    assertEquals(18, estimate.work(55), 0.5, "one part that took long by itself hardly counts");
    assertEquals(15, estimate.work(15), "never more than the usual");
  }

  /**
   * Guards against a jam that keeps itself up: it stretches what lone parts take, by that cold
   * servers were given half of what they can do, and the jam grew. Its way out is stated: a jam of
   * 1,000 lone answers, ten seconds, moves it by a quarter.
   */
  @Test
  void aJamIsNotLearned() {
    WorkEstimate estimate = new WorkEstimate();
    for (int i = 0; i < 100; i++) {
      estimate.answered(14, true);
    }
    for (int i = 0; i < 1000; i++) {
      estimate.answered(60, true);
    }
    assertTrue(estimate.work(80) < 14 * 1.25, "a jam changed the work: " + estimate.work(80));
    for (int i = 0; i < 10_000; i++) {
      estimate.answered(60, true);
    }
    assertEquals(60, estimate.work(80), 1, "what lasts is what clients ask for now");
  }

  /**
   * Guards against a budget for parts that are far too small, when the first few answers were quick
   * by chance.
   */
  @Test
  void aFewQuickAnswersAreNotBelieved() {
    WorkEstimate estimate = new WorkEstimate();
    for (int i = 0; i < 10; i++) {
      estimate.answered(i < 2 ? 4 : 20, true);
    }
    assertTrue(estimate.work(50) >= 8, "work " + estimate.work(50));
    for (int i = 0; i < 60; i++) {
      estimate.answered(i % 4 == 0 ? 5 : 25, true);
    }
    assertTrue(estimate.work(50) >= 8, "work " + estimate.work(50));
  }
}
