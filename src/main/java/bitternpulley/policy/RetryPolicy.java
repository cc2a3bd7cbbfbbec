package bitternpulley.policy;

import bitternpulley.routing.Settings;

/** Decides whether a part may be sent again, and whether it can still be answered. */
final class RetryPolicy {
  private final Settings settings;
  private final RetryBudget budget;
  private final LatencyTracker latencies;

  RetryPolicy(Settings settings, RetryBudget budget, LatencyTracker latencies) {
    this.settings = settings;
    this.budget = budget;
    this.latencies = latencies;
  }

  /** Whether a part without an attempt in flight may be sent again. */
  boolean mayRetry(PartState part, double now) {
    return mayAttemptAgain(part, now) && budget.allowsRetry(now);
  }

  /** Whether a part with an attempt in flight may be sent to a second server. */
  boolean mayHedge(PartState part, double now) {
    return settings.limits().hedgingAllowed()
        && part.query().queryClass().idempotency() != Settings.Idempotency.NON_IDEMPOTENT
        && mayAttemptAgain(part, now)
        && budget.allowsHedge(now);
  }

  private boolean mayAttemptAgain(PartState part, double now) {
    return !mayCrashAnotherServer(part.query())
        && !isUnattainable(part, now)
        && part.attemptCount() < settings.limits().maxAttempts()
        && now + latencies.baseline() <= part.query().answerDeadline();
  }

  /**
   * Whether a further attempt is withheld because the query may crash the servers that process it.
   * After a connection reset without any answer, only one part at a time is sent again; if its
   * connection is reset as well, the query is the likely cause.
   */
  private static boolean mayCrashAnotherServer(QueryState query) {
    return query.hasConnectionReset() && query.answeredWeight() <= 0 && hasAttemptInFlight(query);
  }

  private static boolean hasAttemptInFlight(QueryState query) {
    for (PartState part : query.parts()) {
      if (part.hasAttemptInFlight()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether a part has no attempt in flight and cannot have another, because that is not allowed or
   * would be too late.
   */
  boolean isUnattainable(PartState part, double now) {
    if (part.hasAttemptInFlight()) {
      return false;
    }
    if (part.availableAt() + latencies.baseline() > part.query().answerDeadline()) {
      return true;
    }
    if (part.attemptCount() == 0) {
      return false;
    }
    return part.attemptCount() >= settings.limits().maxAttempts()
        || (part.mayHaveRun() && !mayRunAgain(part, now));
  }

  /** Whether the query class permits a part that may have run to run again. */
  private boolean mayRunAgain(PartState part, double now) {
    Settings.QueryClass queryClass = part.query().queryClass();
    return switch (queryClass.idempotency()) {
      case IDEMPOTENT -> true;
      case NON_IDEMPOTENT -> false;
      case KEYED ->
          now <= part.firstPossibleRunAt() + queryClass.idempotencyWindow() - settings.tick();
    };
  }
}
