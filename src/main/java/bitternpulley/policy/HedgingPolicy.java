package bitternpulley.policy;

import bitternpulley.routing.Settings;

/**
 * Decides when a part whose attempt is late is sent to a second server or, if hedging is not
 * allowed, when its attempt is cancelled so that the part can be sent to another server.
 */
final class HedgingPolicy {
  /** Multiple of the baseline latency after which an attempt at an outlier is late. */
  private static final double LATE_MULTIPLE_OUTLIER = 2;

  /**
   * Multiple of the baseline latency after which an attempt at an outlier is cancelled although no
   * other server can take the part.
   */
  private static final double CANCEL_MULTIPLE = 16;

  /**
   * A hedged request is due at the latest this multiple of the baseline latency before the base
   * wait ends, but not before the attempt is late.
   */
  private static final double LEAD_MULTIPLE = 3;

  /**
   * Weight that must have been answered before a part is hedged only because it is late. With less,
   * all parts are late, not just this one.
   */
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

  /**
   * When a part with an attempt in flight is due for a hedged request or, if hedging is not
   * allowed, for cancellation.
   */
  double hedgeDueAt(PartState part, double now) {
    AttemptState attempt = part.lastInFlight();
    if (outliers.isOutlier(attempt.server(), now) || attempt.isOvertaken()) {
      // Failures distort the latency of an outlier, so the baseline is used.
      return attempt.sentAt() + LATE_MULTIPLE_OUTLIER * latencies.baseline();
    }
    QueryState query = part.query();
    double lateAt = attempt.sentAt() + latencies.lateAfter();
    double beforeWaitEnds = query.baseWaitEnd() - LEAD_MULTIPLE * latencies.baseline();
    if (!settings.rules().retriesBudgeted()) {
      return Math.max(lateAt, beforeWaitEnds);
    }
    // After the budget window, this query itself no longer adds to the retry budget.
    double whileBudgeted =
        query.stepStartedAt()
            + settings.rules().retryBudgetWindow()
            - ReviewScheduler.RECHECK_INTERVAL_MS;
    return Math.max(lateAt, Math.min(beforeWaitEnds, whileBudgeted));
  }

  /** The server for a hedged request of a part that is due for one, or null if none may be sent. */
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

  /**
   * Whether to cancel the attempts of a part that is due for a hedged request, if hedging is not
   * allowed.
   */
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
