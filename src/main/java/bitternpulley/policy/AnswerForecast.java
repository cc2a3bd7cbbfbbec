package bitternpulley.policy;

/** Estimates whether a query that waits to be admitted can still be answered in time. */
final class AnswerForecast {
  /** Multiple of the expected latency that must fit: a query waits for the last of its parts. */
  private static final double TAIL_MULTIPLE = 1.5;

  private final LatencyTracker latencies;
  private final OutlierDetector outliers;
  private final InFlightLimiter limiter;
  private final ReplicaSelector selector;

  AnswerForecast(
      LatencyTracker latencies,
      OutlierDetector outliers,
      InFlightLimiter limiter,
      ReplicaSelector selector) {
    this.latencies = latencies;
    this.outliers = outliers;
    this.limiter = limiter;
    this.selector = selector;
  }

  /** Whether enough parts can be answered by the objective for an answer. */
  boolean isAnswerable(QueryState query, double now) {
    double timeLeft = query.objectiveDeadline() - now;
    // With nothing in flight the estimates are old, so one query is admitted to renew them.
    double tailMultiple = limiter.inFlight() == 0 ? 0 : TAIL_MULTIPLE;
    double reachable = 0;
    for (PartState part : query.parts()) {
      if (isReachable(part, tailMultiple, now)) {
        reachable += part.weight();
      }
    }
    return timeLeft > 0 && query.reachesMinimum(reachable);
  }

  private boolean isReachable(PartState part, double tailMultiple, double now) {
    double deadline = part.query().objectiveDeadline();
    TrackedServer server = selector.selectForAttempt(part, now);
    if (server == null) {
      double availableAt = selector.nextAvailableAt(part, deadline, now);
      return availableAt + tailMultiple * latencies.baseline() <= deadline;
    }
    return tailMultiple * latencies.latencyOf(server, now) <= deadline - now
        || outliers.isTrialDue(server, now);
  }

  /** When a query has to be sent at the latest for an answer by its objective to be usual. */
  double latestStartOf(QueryState query) {
    return query.objectiveDeadline() - latencies.baseline();
  }
}
