package bitternpulley.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * When the parts of past queries arrived, and how much they weighed; bounded in count and age by
 * its owner's figures. It holds samples and does sums over them: what is worth what is handed in.
 */
final class ArrivalRecord {

  /**
   * The arrivals of one past step, in the order they came; parts that never came are simply absent.
   */
  static final class Step {
    private double started;
    private final List<double[]> arrivals = new ArrayList<>();

    void start(double time) {
      started = time;
    }

    void arrive(double time, double weight) {
      arrivals.add(new double[] {time - started, weight});
    }
  }

  private final int most;
  private final double maxAge;
  private final ArrayDeque<Step> steps = new ArrayDeque<>();

  ArrivalRecord(int most, double maxAge) {
    this.most = most;
    this.maxAge = maxAge;
  }

  void add(Step step) {
    steps.addLast(step);
    if (steps.size() > most) {
      steps.removeFirst();
    }
  }

  /** Drops what is too old; true when fewer steps with arrivals than the least are left. */
  boolean thin(double now, int least) {
    while (!steps.isEmpty() && steps.peekFirst().started < now - maxAge) {
      steps.removeFirst();
    }
    return steps.stream().filter(s -> !s.arrivals.isEmpty()).count() < least;
  }

  /**
   * The recorded arrival time with the best mean payoff; of equals the latest. Payoff = worthAt(t)
   * x valueOf(weight).
   */
  double best(DoubleUnaryOperator worthAt, DoubleUnaryOperator valueOf) {
    return best(steps, worthAt, valueOf);
  }

  /** The after-the-fact best waits of the single steps, ascending. */
  double[] bests(DoubleUnaryOperator worthAt, DoubleUnaryOperator valueOf) {
    return steps.stream()
        .filter(s -> !s.arrivals.isEmpty())
        .mapToDouble(s -> best(List.of(s), worthAt, valueOf))
        .sorted()
        .toArray();
  }

  /** The value that so large a share of the sorted ones does not exceed. */
  static double percentile(double[] sorted, double share) {
    return sorted[Math.max(0, Math.min(sorted.length, (int) Math.ceil(share * sorted.length)) - 1)];
  }

  private static double best(
      Iterable<Step> over, DoubleUnaryOperator worthAt, DoubleUnaryOperator valueOf) {
    List<double[]> all = new ArrayList<>();
    int n = 0;
    for (Step s : over) {
      for (double[] a : s.arrivals) {
        all.add(new double[] {a[0], a[1], n});
      }
      n++;
    }
    double[][] sorted = all.toArray(new double[0][]);
    Arrays.sort(sorted, Comparator.comparingDouble(a -> a[0]));
    double[] weight = new double[n];
    double value = 0;
    double best = 0;
    double bestPayoff = -1;
    for (double[] a : sorted) {
      int i = (int) a[2];
      value -= valueOf.applyAsDouble(weight[i]);
      weight[i] += a[1];
      value += valueOf.applyAsDouble(weight[i]);
      double payoff = worthAt.applyAsDouble(a[0]) * value;
      if (payoff >= bestPayoff - 1e-9) {
        best = a[0];
        bestPayoff = Math.max(payoff, bestPayoff);
      }
    }
    return best;
  }
}
