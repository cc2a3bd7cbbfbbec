package bitternpulley.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class WorkEstimateTest {
  /** Guards against a budget that shrinks with load: what waits behind other parts tells nothing of its work. */
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
    assertEquals(20, estimate.work(55), 0.5, "one part that took long by itself hardly counts");
    assertEquals(15, estimate.work(15), "never more than the usual");
  }
}
