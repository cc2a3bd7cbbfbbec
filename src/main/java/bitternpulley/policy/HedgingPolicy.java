package bitternpulley.policy;

import bitternpulley.routing.Settings;

/**
 * Decides when a part whose attempt is late is sent to a second server, or, where hedging is not
 * allowed, when its attempt is cancelled so that it can be sent elsewhere.
 */
final class HedgingPolicy {
  /** Multiple of the baseline latency after which an attempt at an outlier is late. */
  private static final double LATE_MULTIPLE_OUTLIER = 2;

  /**
   * Multiple of the baseline latency after which an attempt at an outlier is cancelled although no
   * other server can take the part.
   */
  private static final double CANCEL_MULTIPLE = 16;

  /** Multiple of the baseline latency before the end of the wait at which a hedge is sent. */
  private static final double LEAD_MULTIPLE = 3;

  /** Weight that must have arrived before merely late parts are hedged: else all are late. */
  private static final double STRAGGLER_WEIGHT = 0.6;

  private final Settings settings;
  private final LatencyTracker latencies;
  private final OutlierDetector outliers;
  private final ReplicaSelector selector;
  private final RetryPolicy retries;
  private final RetryBudget budget;

  HedgingPolicy(
      Settings settings,
      LatencyTracker latencies,
      OutlierDetector outliers,
      ReplicaSelector selector,
      RetryPolicy retries,
      RetryBudget budget) {
    this.settings = settings;
    this.latencies = latencies;
    this.outliers = outliers;
    this.selector = selector;
    this.retries = retries;
    this.budget = budget;
  }

  /** When a part with an attempt in flight should have another. */
  double hedgeDueAt(PartState part, double now) {
    AttemptState attempt = part.lastInFlight();
    if (outliers.isOutlier(attempt.server(), now) || attempt.isOvertaken()) {
      // An outlier's own latency is stretched by its failures, so the baseline is used.
      return attempt.sentAt() + LATE_MULTIPLE_OUTLIER * latencies.baseline();
    }
    QueryState query = part.query();
    double lateAt = attempt.sentAt() + latencies.lateAfter();
    double beforeWaitEnds = query.baseWaitEnd() - LEAD_MULTIPLE * latencies.baseline();
    if (!settings.rules().retriesBudgeted()) {
      return Math.max(lateAt, beforeWaitEnds);
    }
    // After its window the query itself no longer adds to the retry budget.
    double whileBudgeted =
        query.stepStartedAt()
            + settings.rules().retryBudgetWindow()
            - ReviewScheduler.RECHECK_INTERVAL_MS;
    return Math.max(lateAt, Math.min(beforeWaitEnds, whileBudgeted));
  }

  /** The server for a hedged request of a part whose hedge is due, or null. */
  TrackedServer selectServerForHedge(PartState part, double now) {
    TrackedServer server = selector.selectAlternative(part, now);
    if (server == null || !isStraggler(part, now) || outliers.isEjected(server, now)) {
      return null;
    }
    return retries.mayHedge(part, now) ? server : null;
  }

  private boolean isStraggler(PartState part, double now) {
    return outliers.isOutlier(part.lastInFlight().server(), now)
        || part.query().answeredWeight() >= STRAGGLER_WEIGHT;
  }

  /** Whether the attempts of a part are cancelled instead, where hedging is not allowed. */
  boolean shouldCancel(PartState part, double now) {
    if (part.query().queryClass().idempotency() == Settings.Idempotency.NON_IDEMPOTENT
        || !budget.allowsHedge(now)) {
      return false;
    }
    AttemptState attempt = part.lastInFlight();
    return attempt.isOvertaken()
        || (outliers.isOutlier(attempt.server(), now)
            && (selector.selectAlternative(part, now) != null
                || now >= attempt.sentAt() + CANCEL_MULTIPLE * latencies.baseline()));
  }
}
