package bitternpulley.broker;

import bitternpulley.routing.Router;

/** Handles events of attempts: their ends, cancellations and timeouts. */
final class AttemptHandler {
  private final ReductionContext context;
  private final PendingRequests pending;
  private final AttemptControl attempts;
  private final RequestCompletion completion;
  private final ContractAccounting accounting;
  private final PolicyDriver policy;

  AttemptHandler(
      ReductionContext context,
      PendingRequests pending,
      AttemptControl attempts,
      RequestCompletion completion,
      ContractAccounting accounting,
      PolicyDriver policy) {
    this.context = context;
    this.pending = pending;
    this.attempts = attempts;
    this.completion = completion;
    this.accounting = accounting;
    this.policy = policy;
  }

  /** Ends an attempt; does nothing if it is not in flight. */
  void ended(AttemptId id, Router.Outcome outcome, Payload value) {
    PendingPart part = pending.partInFlight(id);
    if (part == null) {
      return;
    }
    AttemptInFlight attempt = part.attemptInFlight();
    part.endAttempt(outcome, value);
    if (outcome == Router.Outcome.OK) {
      pending.recordValue(part, value);
    }
    pending.removePartIfDone(id.part());
    double elapsed = context.now() - attempt.sentAt();
    accounting.attemptEnded(part.request().charge(), outcome, elapsed);
    policy.attemptEnded(id, attempt.server(), outcome, elapsed);
  }

  /** Reports to the routing policy that a limit on attempts prevented an attempt. */
  void notSent(AttemptId id, String server) {
    policy.attemptEnded(id, server, Router.Outcome.NOT_SENT, 0);
  }

  /** Ends a cancelled attempt with the outcome that was given when it was cancelled. */
  void cancelled(AttemptId id) {
    PendingPart part = pending.partInFlight(id);
    if (part != null && part.attemptInFlight().isCancelled()) {
      ended(id, part.attemptInFlight().cancellationOutcome(), null);
    }
  }

  /**
   * Finishes a request that a server found invalid. No other server would accept it, so it is
   * reported to the routing policy as if its client had disconnected.
   */
  void requestRejected(AttemptId id, Payload reason) {
    PendingPart part = pending.partInFlight(id);
    if (part == null) {
      return;
    }
    long requestId = part.request().id();
    completion.finish(requestId, new Effect.Answer.InvalidRequest(reason));
    ended(id, Router.Outcome.ERROR, reason);
    policy.clientDisconnected(requestId);
  }

  /**
   * Cancels the timed-out attempts of a request and sets the alarm for the next attempt to time
   * out. All parts of a request share one alarm, because a request may have very many parts, most
   * of them answered.
   */
  void timedOut(Event.AttemptTimedOut event) {
    PendingPart next = null;
    for (long id = event.firstPart(); id < event.firstPart() + event.partCount(); id++) {
      PendingPart part = pending.part(id);
      if (part == null) {
        continue;
      }
      part.request().clearTimeoutCheck();
      if (isTimedOut(part, event.attempt())) {
        attempts.cancel(part, Router.Outcome.TIMEOUT);
      } else if (part.hasAttemptInFlight() && (next == null || timesOutBefore(part, next))) {
        next = part;
      }
    }
    if (next != null) {
      attempts.scheduleTimeoutCheck(next);
    }
  }

  /**
   * Whether the attempt in flight of a part is the one that the alarm was set for or has timed out
   * as well.
   */
  private boolean isTimedOut(PendingPart part, AttemptId alarmAttempt) {
    AttemptInFlight attempt = part.attemptInFlight();
    return attempt != null
        && (attempt.id().equals(alarmAttempt) || attempt.timesOutAt() <= context.now());
  }

  private static boolean timesOutBefore(PendingPart part, PendingPart other) {
    return part.attemptInFlight().timesOutAt() < other.attemptInFlight().timesOutAt();
  }
}
