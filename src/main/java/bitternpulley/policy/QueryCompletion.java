package bitternpulley.policy;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;

/** Decides whether a query is answered, rejected or failed now, and carries this out. */
final class QueryCompletion {
  /** Multiple of the baseline latency after which a rejected client may retry. */
  private static final double RETRY_AFTER_MULTIPLE = 2;

  private final Settings settings;
  private final QueryRegistry registry;
  private final LatencyTracker latencies;
  private final WaitTimePolicy waits;
  private final RetryPolicy retries;
  private final AttemptDispatcher dispatcher;

  QueryCompletion(
      Settings settings,
      QueryRegistry registry,
      LatencyTracker latencies,
      WaitTimePolicy waits,
      RetryPolicy retries,
      AttemptDispatcher dispatcher) {
    this.settings = settings;
    this.registry = registry;
    this.latencies = latencies;
    this.waits = waits;
    this.retries = retries;
    this.dispatcher = dispatcher;
  }

  /** Ends a query or its current step if due; returns whether it did. */
  boolean completeIfDue(QueryState query, double now, Router.Actions out) {
    if (query.isAwaitingParts() && now < query.answerDeadline()) {
      return false;
    }
    if (query.isStepComplete()) {
      answerCompletely(query, out);
      return true;
    }
    if (isPartialAnswerDue(query, now)) {
      answerInPart(query, now, out);
      return true;
    }
    if (mustGiveUp(query, now)) {
      giveUp(query, out);
      return true;
    }
    return false;
  }

  private boolean isPartialAnswerDue(QueryState query, double now) {
    return query.reachesMinimum(query.answeredWeight())
        && query.queryClass().allowsPartialAnswer()
        && (now >= query.answerDeadline() || waits.isWaitOver(query, now));
  }

  private static boolean mustGiveUp(QueryState query, double now) {
    return now >= query.attemptDeadline()
        || now >= query.answerDeadline()
        || query.isSuspectedQueryOfDeath();
  }

  /** Whether the parts that can still be answered are too few for an answer to the query. */
  boolean isUnattainable(QueryState query, double now) {
    double needed =
        query.queryClass().allowsPartialAnswer()
            ? query.queryClass().minimumShare()
            : query.requiredWeight();
    double spareWeight = 1 + QueryState.WEIGHT_TOLERANCE - needed;
    for (PartState part : query.missing()) {
      spareWeight -= retries.isUnattainable(part, now) ? part.weight() : 0;
    }
    return spareWeight < 0;
  }

  private void answerCompletely(QueryState query, Router.Actions out) {
    out.answer(query.id(), query.isFirstStepComplete());
    waits.recordStep(query);
    endStep(query, query.isFirstStepComplete(), out);
  }

  private void answerInPart(QueryState query, double now, Router.Actions out) {
    out.answer(query.id(), false);
    waits.recordPartialStep(query, now);
    endStep(query, false, out);
  }

  private void endStep(QueryState query, boolean isComplete, Router.Actions out) {
    if (!query.hasSecondStepAhead()) {
      end(query, out);
      return;
    }
    dispatcher.release(query, out);
    query.startSecondStep(isComplete);
    query.scheduleAlarm(query.answerDeadline(), out);
  }

  /** Rejects a query if its client can safely retry it, otherwise fails it. */
  void giveUp(QueryState query, Router.Actions out) {
    if (isSafeToRetry(query)) {
      out.reject(query.id(), retryAfter());
    } else {
      out.fail(query.id());
    }
    if (!query.isAwaitingParts()) {
      waits.recordStep(query);
    }
    end(query, out);
  }

  private static boolean isSafeToRetry(QueryState query) {
    return query.queryClass().idempotency() == Settings.Idempotency.IDEMPOTENT
        || query.parts().stream().noneMatch(PartState::mayHaveRun);
  }

  /**
   * The retry delay in ms for a rejected client, by which the parts now in flight should have been
   * answered; 0 if the settings permit no such delay.
   */
  double retryAfter() {
    Settings.Limits limits = settings.limits();
    return limits.retryAfterAllowed()
        ? Math.min(limits.maxRetryAfter(), RETRY_AFTER_MULTIPLE * latencies.baseline())
        : 0;
  }

  /** Ends a query that gets no further answer, and releases its parts. */
  void end(QueryState query, Router.Actions out) {
    query.finish();
    dispatcher.release(query, out);
    registry.remove(query);
  }
}
