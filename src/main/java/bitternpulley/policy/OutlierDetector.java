package bitternpulley.policy;

import bitternpulley.health.ProcessPauses;
import bitternpulley.health.StallDetector;

/**
 * Decides which servers are outliers: those that refuse connections, fail several times in a row or
 * do not respond. An outlier is ejected: apart from trial requests at growing intervals, it
 * receives parts only if no other server can take them.
 */
final class OutlierDetector {
  /** Multiple of the latency after which a server that answers nothing is unresponsive. */
  private static final double UNRESPONSIVE_MULTIPLE = 4;

  /**
   * Upper bound of the server latency that {@link #unresponsiveAfter} uses, as a multiple of the
   * baseline latency.
   */
  private static final double MAX_LATENCY_MULTIPLE = 1.5;

  /** Ms within which resets of several connections count as one failure. */
  private static final double RESET_INTERVAL_MS = 50;

  private final LatencyTracker latencies;
  private final ServerFleet fleet;
  private final ProcessPauses pauses;
  private final StallDetector stall = new StallDetector();

  OutlierDetector(LatencyTracker latencies, ServerFleet fleet, ProcessPauses pauses) {
    this.latencies = latencies;
    this.fleet = fleet;
    this.pauses = pauses;
  }

  boolean isOutlier(TrackedServer server, double now) {
    return server.failures().indicatesOutlier() || isUnresponsive(server, now);
  }

  /** Whether the server is an outlier that may receive a trial request now. */
  boolean isTrialDue(TrackedServer server, double now) {
    return isOutlier(server, now) && now >= server.failures().ejectedUntil();
  }

  /** Whether the server is an outlier that may not receive a trial request yet. */
  boolean isEjected(TrackedServer server, double now) {
    return isOutlier(server, now) && now < server.failures().ejectedUntil();
  }

  /** Whether the server refuses connections and its next trial request is not due yet. */
  boolean isUnreachable(TrackedServer server, double now) {
    return server.failures().refusesConnections() && now < server.failures().ejectedUntil();
  }

  private boolean isUnresponsive(TrackedServer server, double now) {
    double sentAt = now - server.oldestAge(now);
    return server.lastAnswerAt() <= sentAt
        && runningTime(stall.stallAdjustedTime(sentAt), now) > unresponsiveAfter(server)
        && !stall.isStalled(now, latencies.baseline(), fleet.servers());
  }

  /** Ms since {@code since} in which this process ran and could have read an answer. */
  private double runningTime(double since, double now) {
    return now - since - pauses.pausedSince(since);
  }

  /**
   * Ms without an answer after which a server is unresponsive. The server's own latency counts only
   * up to a bound, since unanswered attempts raise it.
   */
  double unresponsiveAfter(TrackedServer server) {
    double baseline = latencies.baseline();
    return UNRESPONSIVE_MULTIPLE
        * Math.max(
            baseline, Math.min(server.latency().smoothed(), MAX_LATENCY_MULTIPLE * baseline));
  }

  /**
   * Whether no stall of the servers and no pause of this process has ended since an attempt was
   * sent. Either of them would explain a long latency.
   */
  boolean isUnaffectedByStall(AttemptState attempt) {
    return stall.stallAdjustedTime(attempt.sentAt()) <= attempt.sentAt()
        && processRanDuring(attempt);
  }

  /**
   * Whether this process ran without a pause since an attempt was sent, so that the measured
   * latency is valid.
   */
  boolean processRanDuring(AttemptState attempt) {
    return pauses.ranWithoutPauseSince(attempt.sentAt());
  }

  /** Records the arrival of an answer. Must be called before the state of the server is updated. */
  void recordAnswer(double now) {
    stall.recordAnswer(now, latencies.baseline(), fleet.servers());
  }

  /**
   * Records a failure. Its latency is not recorded, so that fast errors do not make a server look
   * fast.
   */
  void recordFailure(TrackedServer server, double now) {
    server.failures().recordFailure();
    if (isOutlier(server, now)) {
      server.failures().eject(now, latencies.baseline());
    }
  }

  /** Records an attempt that was cancelled or timed out after {@code elapsed} ms. */
  void recordUnanswered(AttemptState attempt, double elapsed, double now) {
    TrackedServer server = attempt.server();
    if (elapsed - pauses.pausedSince(attempt.sentAt()) <= unresponsiveAfter(server)) {
      return;
    }
    if (server.lastAnswerAt() <= attempt.sentAt()) {
      server.failures().markOneFailureFromOutlier();
    }
    recordFailure(server, now);
  }

  /**
   * Records a connection that was reset. The resets of several attempts on one connection count as
   * one failure. A reset does not count against a server that has answered since over another
   * connection.
   */
  void recordConnectionReset(AttemptState attempt, double now) {
    TrackedServer server = attempt.server();
    boolean answeredSince = server.lastAnswerAt() > attempt.sentAt();
    if (!answeredSince && now - server.failures().connectionResetAt() > RESET_INTERVAL_MS) {
      recordFailure(server, now);
    }
    server.failures().recordConnectionReset(now);
  }

  /** Records that an attempt is sent to an outlier. */
  void startTrial(TrackedServer server, double now) {
    server.failures().startTrial(now, latencies.baseline());
  }
}
