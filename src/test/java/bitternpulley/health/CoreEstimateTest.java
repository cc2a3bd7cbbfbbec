package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the estimate with simulated pairs of parts at a server with one or two cores. The spread of
 * the work of parts is that of configured sites.
 */
class CoreEstimateTest {
  private static final double WORK = 100;
  private static final int PAIRS = 2000;

  /** The largest capacity that the estimate reports over many pairs, ignoring the first tenth. */
  private static double largestCapacity(
      int cores, double spread, double overestimate, double delayProbability, long seed) {
    Random random = new Random(seed);
    CoreEstimate estimate = new CoreEstimate();
    double sigma = Math.sqrt(Math.log(1 + spread * spread));
    double largest = 0;
    for (int i = 0; i < PAIRS; i++) {
      double firstWork = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2) * WORK;
      double secondWork = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2) * WORK;
      double delay = random.nextDouble() < delayProbability ? WORK * random.nextDouble() : 0;
      double gap = cores == 1 ? secondWork + delay : Math.abs(firstWork - secondWork) + delay / 2;
      estimate.recordAnswerGap(gap, WORK * overestimate);
      if (i > PAIRS / 10) {
        largest = Math.max(largest, estimate.minimumCapacity());
      }
    }
    return largest;
  }

  @Test
  void assumesOneCoreWithoutObservations() {
    assertEquals(0.9, new CoreEstimate().minimumCapacity());
  }

  @Test
  void acceptsTwoCoresAfterADozenPairs() {
    CoreEstimate estimate = new CoreEstimate();
    for (int i = 0; i < 12; i++) {
      estimate.recordAnswerGap(i % 3 == 2 ? WORK : 0, WORK);
    }
    assertEquals(1.8, estimate.minimumCapacity());
  }

  @ParameterizedTest
  @CsvSource({"0.2, 1, 0", "0.4, 1, 0.3", "0.5, 1, 0", "0.3, 1.2, 0"})
  void neverMistakesOneCoreForTwo(double spread, double overestimate, double delayProbability) {
    for (long seed = 1; seed <= 5; seed++) {
      assertEquals(
          0.9, largestCapacity(1, spread, overestimate, delayProbability, seed), "seed " + seed);
    }
  }

  @ParameterizedTest
  @CsvSource({"0.2, 1, 0.3", "0.4, 1.2, 0.3", "0.5, 1.2, 0"})
  void recognizesTwoCores(double spread, double overestimate, double delayProbability) {
    for (long seed = 1; seed <= 5; seed++) {
      assertEquals(
          1.8, largestCapacity(2, spread, overestimate, delayProbability, seed), "seed " + seed);
    }
  }
}
