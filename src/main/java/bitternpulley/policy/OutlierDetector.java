package bitternpulley.policy;

import bitternpulley.health.ProcessPauses;
import bitternpulley.health.StallDetector;

/**
 * Decides which servers are outliers: those that refuse connections, fail several times in a row or
 * do not respond. An outlier is ejected: it is chosen only where nothing else is left, apart from
 * trial requests at growing intervals.
 */
final class OutlierDetector {
  /** Multiple of a latency after which a server that answers nothing is unresponsive. */
  private static final double UNRESPONSIVE_MULTIPLE = 4;

  /** Multiple of the baseline latency that a server's own counts as in that, at most. */
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
    return server.failures().indicateOutlier() || isUnresponsive(server, now);
  }

  /** Whether it is an outlier that may receive a trial request. */
  boolean isTrialDue(TrackedServer server, double now) {
    return isOutlier(server, now) && now >= server.failures().ejectedUntil();
  }

  /** Whether it is an outlier that may not receive a trial request yet. */
  boolean isEjected(TrackedServer server, double now) {
    return isOutlier(server, now) && now < server.failures().ejectedUntil();
  }

  /** Whether it refuses connections and its next trial request is not due. */
  boolean isUnreachable(TrackedServer server, double now) {
    return server.failures().refusesConnections() && now < server.failures().ejectedUntil();
  }

  private boolean isUnresponsive(TrackedServer server, double now) {
    double sentAt = now - server.oldestAge(now);
    return server.lastAnswerAt() <= sentAt
        && runningTime(stall.stallAdjustedTime(sentAt), now) > unresponsiveAfter(server)
        && !stall.isStalled(now, latencies.baseline(), fleet.servers());
  }

  /** Ms since then in which this process ran and could have read an answer. */
  private double runningTime(double since, double now) {
    return now - since - pauses.pausedSince(since);
  }

  /**
   * Ms without an answer after which a server is unresponsive. Its own latency counts up to a bound
   * only, since attempts that it does not answer raise that latency.
   */
  double unresponsiveAfter(TrackedServer server) {
    double baseline = latencies.baseline();
    return UNRESPONSIVE_MULTIPLE
        * Math.max(
            baseline, Math.min(server.latency().smoothed(), MAX_LATENCY_MULTIPLE * baseline));
  }

  /**
   * Whether neither a stall nor a pause of this process has ended since an attempt was sent, which
   * would explain its latency.
   */
  boolean isUnaffectedByStall(AttemptState attempt) {
    return stall.stallAdjustedTime(attempt.sentAt()) <= attempt.sentAt()
        && processRanDuring(attempt);
  }

  /**
   * Whether this process ran all the time since an attempt was sent, so that its latency counts.
   */
  boolean processRanDuring(AttemptState attempt) {
    return pauses.ranSince(attempt.sentAt());
  }

  /** Records the arrival of an answer, before the server's state takes account of it. */
  void recordAnswer(double now) {
    stall.recordAnswer(now, latencies.baseline(), fleet.servers());
  }

  /** Records a failure; it tells nothing of speed, so fast errors make no server look fast. */
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
   * Records a connection that was reset. The resets of several attempts on one connection count
   * once, and not against a server that answers over other connections.
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
