package bitternpulley.contracts;

import java.util.Arrays;

/**
 * Measures work in standard parts; one standard part is the current average work of a part. Servers
 * do not report the work of a part, and its latency includes queueing. Therefore a part is charged
 * its latency divided by the current average latency: under overload all latencies grow and charges
 * stay the same, while a part with nine times the average work is charged nine.
 */
final class WorkMeter {
  /** Weight of a new sample in a moving average, which covers about the last 50 samples. */
  private static final double SMOOTHING = 0.02;

  /** A sample is capped at this multiple of the average to which it is added. */
  private static final double MAX_SAMPLE_RATIO = 4;

  /** The highest charge of one part, and the highest factor that a hint applies to an estimate. */
  private static final double MAX_COST = 50;

  private double averageLatencyMs;
  private final double[] costByClass;
  private final double[] hintByClass;

  WorkMeter(int classes) {
    costByClass = new double[classes];
    hintByClass = new double[classes];
    Arrays.fill(costByClass, 1);
  }

  /** Estimates a query's work in standard parts; adds the query's hint to its class's average. */
  double estimate(AdmissionRequest request) {
    double cost = costByClass[request.queryClass()];
    double hint = request.hintedWork() / request.parts();
    if (hint > 0) {
      cost *= hintRatio(request.queryClass(), hint);
    }
    return request.parts() * cost;
  }

  /** The ratio of a hint to the average hint of its class, to which the hint is then added. */
  private double hintRatio(int queryClass, double hint) {
    double average = hintByClass[queryClass];
    if (average == 0) {
      hintByClass[queryClass] = hint;
      return 1;
    }
    hintByClass[queryClass] = average + SMOOTHING * (hint - average);
    return Math.min(MAX_COST, hint / average);
  }

  /** The estimated work of one attempt of a query class, in standard parts. */
  double estimateAttempt(int queryClass) {
    return costByClass[queryClass];
  }

  /** Records the latency of an answered attempt; returns its cost in standard parts. */
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
