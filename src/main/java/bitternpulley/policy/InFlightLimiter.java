package bitternpulley.policy;

import bitternpulley.health.InstanceConcurrencyLimit;
import bitternpulley.health.ProcessPauses;

/**
 * Limits the number of parts that this instance has in flight at all servers together. Late
 * attempts do not count, since an unresponsive server says nothing about the load of the others.
 */
final class InFlightLimiter {
  private final LatencyTracker latencies;
  private final OutlierDetector outliers;
  private final ProcessPauses pauses;
  private final InstanceConcurrencyLimit limit = new InstanceConcurrencyLimit();
  private int inFlight;

  InFlightLimiter(LatencyTracker latencies, OutlierDetector outliers, ProcessPauses pauses) {
    this.pauses = pauses;
    this.latencies = latencies;
    this.outliers = outliers;
  }

  /** Sets the initial limit for a number of known servers. */
  void reset(int servers) {
    limit.reset(servers);
  }

  /** Attempts in flight that are not late. */
  int inFlight() {
    return inFlight;
  }

  /** Whether this number of parts in flight leaves no capacity for more. */
  boolean isReached(int parts) {
    return limit.isReached(parts);
  }

  void recordSent() {
    inFlight++;
  }

  /**
   * Marks an attempt in flight as late if it is, and records this for its zone without waiting for
   * the end of the attempt.
   */
  void markIfLate(AttemptState attempt, double now) {
    double sentAt = attempt.sentAt();
    if (!attempt.isLate() && now >= sentAt + latencies.lateAfter() + pauses.pausedSince(sentAt)) {
      attempt.markLate();
      inFlight--;
      latencies.zone(attempt.server().zone()).recordLate();
    }
  }

  void recordEnded(AttemptState attempt) {
    inFlight -= attempt.isLate() ? 0 : 1;
  }

  /** Whether an attempt that took {@code elapsed} ms was fast enough for its query class. */
  boolean isTimely(AttemptState attempt, double elapsed) {
    double latencyObjective = attempt.query().queryClass().latencyObjective();
    return elapsed <= limit.maxTimelyLatency(latencyObjective, latencies.workOf(attempt.part()));
  }

  /**
   * Adjusts the limit after an attempt that took {@code elapsed} ms. A delay caused by a slow
   * outlier, a stall or a pause of this process does not count, since fewer parts in flight would
   * not have prevented it.
   */
  void adjust(AttemptState attempt, double elapsed) {
    if (isTimely(attempt, elapsed)) {
      limit.recordTimely(inFlight);
    } else if (attempt.server().latency().isComparableTo(latencies.baseline())
        && outliers.isUnaffectedByStall(attempt)) {
      limit.recordLate();
    }
  }
}
