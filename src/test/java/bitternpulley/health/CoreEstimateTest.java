package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Pairs of parts at a server of one core or two, whose work spreads as the sites say. */
class CoreEstimateTest {
  private static final double WORK = 100;
  private static final int PAIRS = 2000;

  /**
   * The least and the most cores that an estimate was sure of over many pairs, once it had seen
   * some.
   */
  private static double[] sure(
      int cores, double spread, double overestimate, double busy, long seed) {
    Random random = new Random(seed);
    CoreEstimate estimate = new CoreEstimate();
    double sigma = Math.sqrt(Math.log(1 + spread * spread));
    double least = Double.POSITIVE_INFINITY;
    double most = 0;
    for (int i = 0; i < PAIRS; i++) {
      double first = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2) * WORK;
      double second = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2) * WORK;
      double between = random.nextDouble() < busy ? WORK * random.nextDouble() : 0;
      double gap = cores == 1 ? second + between : Math.abs(first - second) + between / 2;
      estimate.answered(gap, WORK * overestimate);
      if (i > PAIRS / 10) {
        least = Math.min(least, estimate.sure());
        most = Math.max(most, estimate.sure());
      }
    }
    return new double[] {least, most};
  }

  @Test
  void nothingSeenIsOneCore() {
    assertEquals(0.9, new CoreEstimate().sure());
  }

  /** Guards against seconds after a start in which cold servers get half of what they bear. */
  @Test
  void aDozenPairsAreEnough() {
    CoreEstimate estimate = new CoreEstimate();
    for (int i = 0; i < 12; i++) {
      estimate.answered(i % 3 == 2 ? WORK : 0, WORK);
    }
    assertEquals(1.8, estimate.sure());
  }

  @ParameterizedTest
  @CsvSource({"0.2, 1, 0", "0.4, 1, 0.3", "0.5, 1, 0", "0.3, 1.2, 0"})
  void oneCoreIsNeverTakenForTwo(double spread, double overestimate, double busy) {
    for (long seed = 1; seed <= 5; seed++) {
      assertEquals(0.9, sure(1, spread, overestimate, busy, seed)[1], "seed " + seed);
    }
  }

  @ParameterizedTest
  @CsvSource({"0.2, 1, 0.3", "0.4, 1.2, 0.3", "0.5, 1.2, 0"})
  void twoCoresAreFoundOut(double spread, double overestimate, double busy) {
    for (long seed = 1; seed <= 5; seed++) {
      assertEquals(1.8, sure(2, spread, overestimate, busy, seed)[1], "seed " + seed);
    }
  }
}
