package bitternpulley.policy;

/** The smoothed latency of one server, and whether it is slow compared with the fleet. */
final class ServerLatency {
  /** Weight of a new latency; the smoothed latency reflects about the last five answers. */
  private static final double SMOOTHING = 0.2;

  /** Multiple of the baseline latency above which a server is a slow outlier. */
  private static final double SLOW_MULTIPLE = 3;

  /** Multiple of the baseline latency above which a slow outlier remains one. */
  private static final double STILL_SLOW_MULTIPLE = 1.5;

  /** Smoothed latency in ms; 0 until a latency is recorded. */
  private double smoothed;

  private boolean isSlowOutlier;

  /** The smoothed latency in ms, or 0 if none was recorded. */
  double smoothed() {
    return smoothed;
  }

  boolean isSlowOutlier() {
    return isSlowOutlier;
  }

  /**
   * Whether the latency is at most {@link #SLOW_MULTIPLE} times the baseline; a longer latency is
   * attributed to this server alone.
   */
  boolean isComparableTo(double baselineLatency) {
    return smoothed <= SLOW_MULTIPLE * baselineLatency;
  }

  /** Records a latency in ms. The first one is smoothed with an assumed latency. */
  void record(double latency, double assumedLatency) {
    if (smoothed == 0) {
      smoothed = assumedLatency;
    }
    smoothed += SMOOTHING * (latency - smoothed);
  }

  /** Decides whether the server is a slow outlier. */
  void updateSlowOutlier(double baselineLatency) {
    double multiple = isSlowOutlier ? STILL_SLOW_MULTIPLE : SLOW_MULTIPLE;
    isSlowOutlier = smoothed > multiple * baselineLatency;
  }

  /** Clears all recorded latencies. */
  void reset() {
    smoothed = 0;
    isSlowOutlier = false;
  }
}
