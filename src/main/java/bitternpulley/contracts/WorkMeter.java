package bitternpulley.contracts;

import java.util.Arrays;

/**
 * Measures work in standard parts: one is the work of the average part at the time. Servers do not
 * report the work of a part, and its latency includes queueing, so a part is charged its latency
 * divided by the current average latency: under overload all latencies grow and charges stay, while
 * a part of nine times the average work is charged nine.
 */
final class WorkMeter {
  /** Weight of a new sample in a moving average: about the last 50 samples count. */
  private static final double SMOOTHING = 0.02;

  /** A sample counts as at most this multiple of the average that it goes into. */
  private static final double MAX_SAMPLE_RATIO = 4;

  /** The highest charge of one part, and the highest multiple that a hint makes of an estimate. */
  private static final double MAX_COST = 50;

  private double averageLatencyMs;
  private final double[] costByClass;
  private final double[] hintByClass;

  WorkMeter(int classes) {
    costByClass = new double[classes];
    hintByClass = new double[classes];
    Arrays.fill(costByClass, 1);
  }

  /** Standard parts that a query is likely to take; its hint goes into its class's average hint. */
  double estimate(AdmissionRequest request) {
    double cost = costByClass[request.queryClass()];
    double hint = request.hintedWork() / request.parts();
    if (hint > 0) {
      cost *= hintRatio(request.queryClass(), hint);
    }
    return request.parts() * cost;
  }

  /** A hint in relation to the class's average before it, which the hint then goes into. */
  private double hintRatio(int queryClass, double hint) {
    double average = hintByClass[queryClass];
    if (average == 0) {
      hintByClass[queryClass] = hint;
      return 1;
    }
    hintByClass[queryClass] = average + SMOOTHING * (hint - average);
    return Math.min(MAX_COST, hint / average);
  }

  /** Standard parts that one attempt of a class is likely to take. */
  double estimateAttempt(int queryClass) {
    return costByClass[queryClass];
  }

  /** Records the latency of an answered attempt and returns what it costs. */
  double recordAnswer(int queryClass, double latencyMs) {
    averageLatencyMs = averageLatencyMs == 0 ? latencyMs : smoothed(averageLatencyMs, latencyMs);
    double cost = averageLatencyMs <= 0 ? 1 : Math.min(MAX_COST, latencyMs / averageLatencyMs);
    costByClass[queryClass] = smoothed(costByClass[queryClass], cost);
    return cost;
  }

  private static double smoothed(double average, double sample) {
    return average + SMOOTHING * (Math.min(sample, MAX_SAMPLE_RATIO * average) - average);
  }
}
