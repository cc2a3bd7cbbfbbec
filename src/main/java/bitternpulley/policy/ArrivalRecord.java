package bitternpulley.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * Arrival times and weights of the answered parts in past steps of one query class. The number and
 * the age of the recorded steps are limited. The record finds the wait times that would have been
 * best for these steps; the payoff functions are parameters.
 */
final class ArrivalRecord {
  /** Payoffs that differ by less count as equal, to allow for rounding errors. */
  private static final double PAYOFF_TOLERANCE = 1e-9;

  /** An arrival with the index of its step among the steps searched. */
  private record IndexedArrival(double elapsed, double weight, int step) {}

  private final int maxSteps;
  private final double maxAgeMs;
  private final ArrayDeque<StepArrivals> steps = new ArrayDeque<>();

  ArrivalRecord(int maxSteps, double maxAgeMs) {
    this.maxSteps = maxSteps;
    this.maxAgeMs = maxAgeMs;
  }

  void add(StepArrivals step) {
    steps.addLast(step);
    if (steps.size() > maxSteps) {
      steps.removeFirst();
    }
  }

  /**
   * Removes steps that are too old; returns whether at least {@code minimum} steps with arrivals
   * remain.
   */
  boolean hasEnoughSteps(double now, int minimum) {
    while (!steps.isEmpty() && steps.peekFirst().startedAt() < now - maxAgeMs) {
      steps.removeFirst();
    }
    return steps.stream().filter(step -> !step.isEmpty()).count() >= minimum;
  }

  /**
   * The recorded arrival time, in ms since the start of a step, that gives the best mean payoff
   * when used as the wait time; the latest of several equally good ones.
   *
   * @param timePayoff share of the payoff that remains after a wait in ms
   * @param weightPayoff payoff of an answer of a given weight, as a share of the payoff of a
   *     complete answer
   */
  double bestWait(DoubleUnaryOperator timePayoff, DoubleUnaryOperator weightPayoff) {
    return bestWait(steps, timePayoff, weightPayoff);
  }

  /** The wait that would have been best for each step by itself, in ascending order. */
  double[] bestWaitsOfSteps(DoubleUnaryOperator timePayoff, DoubleUnaryOperator weightPayoff) {
    return steps.stream()
        .filter(step -> !step.isEmpty())
        .mapToDouble(step -> bestWait(List.of(step), timePayoff, weightPayoff))
        .sorted()
        .toArray();
  }

  /** The smallest of the sorted values that is at least as large as the given share of them. */
  static double percentile(double[] sorted, double share) {
    return sorted[Math.max(0, Math.min(sorted.length, (int) Math.ceil(share * sorted.length)) - 1)];
  }

  private static double bestWait(
      Iterable<StepArrivals> steps,
      DoubleUnaryOperator timePayoff,
      DoubleUnaryOperator weightPayoff) {
    List<IndexedArrival> arrivals = new ArrayList<>();
    int stepCount = 0;
    for (StepArrivals step : steps) {
      addArrivals(step, stepCount, arrivals);
      stepCount++;
    }
    arrivals.sort(Comparator.comparingDouble(IndexedArrival::elapsed));
    return bestWait(arrivals, new double[stepCount], timePayoff, weightPayoff);
  }

  private static void addArrivals(StepArrivals step, int stepIndex, List<IndexedArrival> arrivals) {
    for (StepArrivals.Arrival arrival : step.arrivals()) {
      arrivals.add(new IndexedArrival(arrival.elapsed(), arrival.weight(), stepIndex));
    }
  }

  /**
   * Goes through all arrivals in order of time and tracks the weight that each step has received so
   * far.
   */
  private static double bestWait(
      List<IndexedArrival> arrivals,
      double[] weightOfStep,
      DoubleUnaryOperator timePayoff,
      DoubleUnaryOperator weightPayoff) {
    double sum = 0;
    double best = 0;
    double bestPayoff = -1;
    for (IndexedArrival arrival : arrivals) {
      sum -= weightPayoff.applyAsDouble(weightOfStep[arrival.step]);
      weightOfStep[arrival.step] += arrival.weight;
      sum += weightPayoff.applyAsDouble(weightOfStep[arrival.step]);
      double payoff = timePayoff.applyAsDouble(arrival.elapsed) * sum;
      if (payoff >= bestPayoff - PAYOFF_TOLERANCE) {
        best = arrival.elapsed;
        bestPayoff = Math.max(payoff, bestPayoff);
      }
    }
    return best;
  }
}
