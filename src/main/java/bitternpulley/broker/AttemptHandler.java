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

  /** Ends an attempt; does nothing where it is not in flight. */
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

  /** Reports an attempt that the limits on attempts did not let out. */
  void notSent(AttemptId id, String server) {
    policy.attemptEnded(id, server, Router.Outcome.NOT_SENT, 0);
  }

  /** Ends a cancelled attempt with the outcome that was given at its cancellation. */
  void cancelled(AttemptId id) {
    PendingPart part = pending.partInFlight(id);
    if (part != null && part.attemptInFlight().isCancelled()) {
      ended(id, part.attemptInFlight().cancelledAs(), null);
    }
  }

  /**
   * Finishes a request that a server found invalid: no other server would accept it, so the routing
   * policy sees its client as disconnected.
   */
  void requestRejected(AttemptId id, Payload reason) {
    PendingPart part = pending.partInFlight(id);
    if (part == null) {
      return;
    }
    long request = part.request().id();
    completion.finish(request, new Effect.Answer.InvalidRequest(reason));
    ended(id, Router.Outcome.ERROR, reason);
    policy.clientDisconnected(request);
  }

  /**
   * Cancels the attempts of a request that timed out, and sets the alarm for the next to do so. A
   * request of very many parts, most of them answered, has one alarm rather than one a part.
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

  /** Whether the attempt in flight of a part is the one of the alarm or timed out as well. */
  private boolean isTimedOut(PendingPart part, AttemptId ofAlarm) {
    AttemptInFlight attempt = part.attemptInFlight();
    return attempt != null
        && (attempt.id().equals(ofAlarm) || attempt.timesOutAt() <= context.now());
  }

  private static boolean timesOutBefore(PendingPart part, PendingPart other) {
    return part.attemptInFlight().timesOutAt() < other.attemptInFlight().timesOutAt();
  }
}
