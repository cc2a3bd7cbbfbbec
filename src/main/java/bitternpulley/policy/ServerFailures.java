package bitternpulley.policy;

/**
 * The recent failures of one server and its ejection. {@link OutlierDetector} makes the decisions
 * based on them.
 */
final class ServerFailures {
  /** Weight of one outcome in the failure rate. */
  private static final double SMOOTHING = 0.15;

  /** Upper bound of the failure rate that is taken into account. */
  private static final double MAX_RATE = 0.8;

  /** Consecutive failures that make a server an outlier; a single one may be chance. */
  private static final int OUTLIER_FAILURES = 2;

  /** Time until the first trial request in baseline latencies; doubled after each trial request. */
  private static final double INITIAL_TRIAL_INTERVAL = 4;

  /** Longest time between two trial requests in baseline latencies. */
  private static final double MAX_TRIAL_INTERVAL = 16;

  private double failureRate;
  private int consecutiveFailures;
  private boolean refusesConnections;
  private double ejectedUntil;
  private double trialInterval = INITIAL_TRIAL_INTERVAL;
  private double connectionResetAt = Double.NEGATIVE_INFINITY;

  /** The share of attempts that succeed, at least a fifth. */
  double successRate() {
    return 1 - Math.min(failureRate, MAX_RATE);
  }

  boolean refusesConnections() {
    return refusesConnections;
  }

  /** Whether the server refuses connections or has failed several times in a row. */
  boolean indicatesOutlier() {
    return refusesConnections || consecutiveFailures >= OUTLIER_FAILURES;
  }

  /** The time from which an outlier may receive a trial request. */
  double ejectedUntil() {
    return ejectedUntil;
  }

  /** When a connection to the server was last reset, or negative infinity. */
  double connectionResetAt() {
    return connectionResetAt;
  }

  void recordSuccess() {
    failureRate *= 1 - SMOOTHING;
    refusesConnections = false;
    consecutiveFailures = 0;
    trialInterval = INITIAL_TRIAL_INTERVAL;
  }

  void recordFailure() {
    failureRate += SMOOTHING * (1 - failureRate);
    consecutiveFailures++;
  }

  /** Raises the number of failures so that the next one makes the server an outlier. */
  void markOneFailureFromOutlier() {
    consecutiveFailures = Math.max(consecutiveFailures, OUTLIER_FAILURES - 1);
  }

  void recordRefusedConnection() {
    refusesConnections = true;
  }

  void recordConnectionReset(double now) {
    connectionResetAt = now;
  }

  /** Postpones the next trial request of an outlier by the trial interval. */
  void eject(double now, double baselineLatency) {
    ejectedUntil = Math.max(ejectedUntil, now + trialInterval * baselineLatency);
  }

  /** Schedules the trial request after the one that is sent now, at twice the interval. */
  void startTrial(double now, double baselineLatency) {
    ejectedUntil = now + trialInterval * baselineLatency;
    trialInterval = Math.min(2 * trialInterval, MAX_TRIAL_INTERVAL);
  }

  /** Clears the failures of a previous server process. An ejection stays in force. */
  void reset() {
    failureRate = 0;
    consecutiveFailures = 0;
    refusesConnections = false;
  }
}
