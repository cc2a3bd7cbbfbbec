package bitternpulley.policy;

import bitternpulley.routing.Router;

/** Schedules the next review of a query, for changes that come with time and not with an event. */
final class ReviewScheduler {
  /** Longest time in ms between two reviews of all missing parts of a query. */
  static final double RECHECK_INTERVAL_MS = 50;

  /**
   * Margin in ms after a deadline, so that the deadline has passed even if alarm times are rounded.
   */
  private static final double DEADLINE_MARGIN_MS = 1;

  private final LatencyTracker latencies;
  private final OutlierDetector outliers;
  private final HedgingPolicy hedging;

  ReviewScheduler(LatencyTracker latencies, OutlierDetector outliers, HedgingPolicy hedging) {
    this.latencies = latencies;
    this.outliers = outliers;
    this.hedging = hedging;
  }

  /** Schedules the next review and its alarm. */
  void schedule(QueryState query, double now, Router.Actions out) {
    double next = query.attemptDeadline();
    if (query.queryClass().latePriorityWeight() > 0 && now < query.objectiveDeadline()) {
      next = query.objectiveDeadline();
    }
    if (!query.isAwaitingParts()) {
      next = earlier(next, query.baseWaitEnd(), now);
      next = earlier(next, query.extendedUntil(), now);
      next = earlier(next, query.stepObjective(), now);
      for (PartState part : query.missing()) {
        next = earlier(next, nextChangeOf(part, now), now);
      }
    }
    query.reviewAt(Math.min(next, now + RECHECK_INTERVAL_MS));
    query.scheduleAlarm(next, out);
  }

  /** When the state of a missing part may change next; infinity if the part was never sent. */
  private double nextChangeOf(PartState part, double now) {
    double recheckAt = now + RECHECK_INTERVAL_MS;
    if (part.attemptCount() == 0) {
      return Double.POSITIVE_INFINITY;
    }
    if (!part.hasAttemptInFlight()) {
      return recheckAt;
    }
    AttemptState attempt = part.lastInFlight();
    double next = Math.max(hedging.hedgeDueAt(part, now), recheckAt);
    double unresponsiveAt = attempt.sentAt() + outliers.unresponsiveAfter(attempt.server());
    next = earlier(next, unresponsiveAt + DEADLINE_MARGIN_MS, now);
    return earlier(next, attempt.sentAt() + latencies.lateAfter() + DEADLINE_MARGIN_MS, now);
  }

  private static double earlier(double next, double candidate, double now) {
    return candidate > now ? Math.min(next, candidate) : next;
  }
}
