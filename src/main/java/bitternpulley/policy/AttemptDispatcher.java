package bitternpulley.policy;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;

/** Sends and cancels attempts as the replica selector and the retry and hedging policies decide. */
final class AttemptDispatcher {
  /** Ms without an answer after which an idle connection may have died silently. */
  private static final double MAX_IDLE_MS = 700;

  private final Settings settings;
  private final QueryRegistry registry;
  private final LatencyTracker latencies;
  private final OutlierDetector outliers;
  private final InFlightLimiter limiter;
  private final ReplicaSelector selector;
  private final RetryPolicy retries;
  private final RetryBudget budget;
  private final HedgingPolicy hedging;

  AttemptDispatcher(
      Settings settings,
      QueryRegistry registry,
      LatencyTracker latencies,
      OutlierDetector outliers,
      InFlightLimiter limiter,
      ReplicaSelector selector,
      RetryPolicy retries,
      RetryBudget budget,
      HedgingPolicy hedging) {
    this.settings = settings;
    this.registry = registry;
    this.latencies = latencies;
    this.outliers = outliers;
    this.limiter = limiter;
    this.selector = selector;
    this.retries = retries;
    this.budget = budget;
    this.hedging = hedging;
  }

  /** Sends, hedges or cancels attempts of the missing parts of an admitted query, as far as due. */
  void dispatch(QueryState query, double now, Router.Actions out) {
    for (PartState part : query.missing()) {
      if (part.hasAttemptInFlight()) {
        superviseAttempts(part, now, out);
      } else {
        startAttempt(part, now, out);
      }
    }
  }

  private void startAttempt(PartState part, double now, Router.Actions out) {
    part.setAvailableAt(now);
    if (part.attemptCount() > 0 && !retries.mayRetry(part, now)) {
      return;
    }
    TrackedServer server = selector.selectForAttempt(part, now);
    if (server != null) {
      send(part, server, now, out);
      return;
    }
    QueryState query = part.query();
    part.setAvailableAt(selector.nextAvailableAt(part, query.answerDeadline(), now));
    query.scheduleAlarm(now + ReviewScheduler.RECHECK_INTERVAL_MS, out);
  }

  private void superviseAttempts(PartState part, double now, Router.Actions out) {
    limiter.markIfLate(part.lastInFlight(), now);
    if (now < hedging.hedgeDueAt(part, now)) {
      return;
    }
    if (part.inFlightCount() > 1) {
      // Both attempts are late: the older one is cancelled, so that a third can be sent.
      cancel(part.firstInFlight(), out);
    } else if (settings.limits().hedgingAllowed()) {
      hedge(part, now, out);
    } else if (hedging.shouldCancel(part, now)) {
      cancelAll(part, out);
    }
  }

  private void hedge(PartState part, double now, Router.Actions out) {
    TrackedServer server = hedging.selectServerForHedge(part, now);
    if (server != null) {
      send(part, server, now, out);
    }
  }

  private void send(PartState part, TrackedServer server, double now, Router.Actions out) {
    if (part.attemptCount() > 0) {
      budget.recordRetry(now);
    }
    AttemptState attempt = part.startAttempt(server, now, latencies.expectedLatencyOf(server, now));
    if (outliers.isOutlier(server, now)) {
      outliers.startTrial(server, now);
    } else if (needsNewConnection(server, now)) {
      attempt.markNewConnection();
      out.closeIdleConnections(server.id());
    }
    if (isSoleRequest(server, now)) {
      attempt.markSoleRequest();
    }
    server.addInFlight(attempt);
    limiter.recordSent();
    server.slowStart().recordSent(now, latencies.workOf(part));
    double timeout = part.query().attemptDeadline() - now + settings.tick();
    out.send(part.id(), server.id(), Math.max(1, timeout));
  }

  /**
   * Whether to send a part over a new connection, since an idle one may have died silently and
   * would lose the part. Idle connections are kept if new ones to the zone tend to fail or if
   * handshakes are charged for.
   */
  private boolean needsNewConnection(TrackedServer server, double now) {
    return server.isIdle()
        && now - server.lastAnswerAt() > MAX_IDLE_MS
        && latencies.zone(server.zone()).admitNewConnection()
        && settings.costs().handshake() <= 0;
  }

  private static boolean isSoleRequest(TrackedServer server, double now) {
    return server.isIdle()
        && server.slowStart().warmupFraction(now) >= 1
        && !server.latency().isSlowOutlier();
  }

  /**
   * Cancels all attempts of the current step of a query and removes its parts that have none in
   * flight from the registry.
   */
  void release(QueryState query, Router.Actions out) {
    for (PartState part : query.parts()) {
      cancelAll(part, out);
      if (!part.hasAttemptInFlight()) {
        registry.removePart(part);
      }
    }
  }

  /** Cancels all attempts of a part. */
  void cancelAll(PartState part, Router.Actions out) {
    for (AttemptState attempt : part.attempts()) {
      cancel(attempt, out);
    }
  }

  private void cancel(AttemptState attempt, Router.Actions out) {
    if (settings.limits().cancellationAllowed() && attempt.cancel()) {
      out.cancel(attempt.part().id(), attempt.number());
    }
  }
}
