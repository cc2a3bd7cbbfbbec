package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Pairs of parts at a server of one or two cores, with work as dispersed as sites configure. */
class CoreEstimateTest {
  private static final double WORK = 100;
  private static final int PAIRS = 2000;

  /** The largest capacity that an estimate stated over many pairs, after the first tenth. */
  private static double largestCapacity(
      int cores, double spread, double overestimate, double busy, long seed) {
    Random random = new Random(seed);
    CoreEstimate estimate = new CoreEstimate();
    double sigma = Math.sqrt(Math.log(1 + spread * spread));
    double largest = 0;
    for (int i = 0; i < PAIRS; i++) {
      double first = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2) * WORK;
      double second = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2) * WORK;
      double between = random.nextDouble() < busy ? WORK * random.nextDouble() : 0;
      double gap = cores == 1 ? second + between : Math.abs(first - second) + between / 2;
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
  void neverMistakesOneCoreForTwo(double spread, double overestimate, double busy) {
    for (long seed = 1; seed <= 5; seed++) {
      assertEquals(0.9, largestCapacity(1, spread, overestimate, busy, seed), "seed " + seed);
    }
  }

  @ParameterizedTest
  @CsvSource({"0.2, 1, 0.3", "0.4, 1.2, 0.3", "0.5, 1.2, 0"})
  void recognizesTwoCores(double spread, double overestimate, double busy) {
    for (long seed = 1; seed <= 5; seed++) {
      assertEquals(1.8, largestCapacity(2, spread, overestimate, busy, seed), "seed " + seed);
    }
  }
}
