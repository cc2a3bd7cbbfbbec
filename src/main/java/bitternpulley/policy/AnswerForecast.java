package bitternpulley.policy;

/** Estimates whether a query that waits to be admitted can still be answered in time. */
final class AnswerForecast {
  /**
   * Multiple of the expected latency that must fit into the time left, since a query waits for its
   * slowest part.
   */
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

  /** Whether enough parts can be answered by the objective deadline for an answer to the query. */
  boolean isAnswerable(QueryState query, double now) {
    double timeLeft = query.objectiveDeadline() - now;
    // With nothing in flight the latency estimates are outdated, so one query is admitted to
    // refresh them.
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

  /**
   * The latest time at which the parts of a query can be sent so that they are usually answered by
   * the objective deadline.
   */
  double latestStartOf(QueryState query) {
    return query.objectiveDeadline() - latencies.baseline();
  }
}
