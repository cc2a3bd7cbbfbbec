package bitternpulley.broker;

import bitternpulley.routing.Settings;

/** Finishes requests: gives each at most one final answer and closes its charge. */
final class RequestCompletion {
  private final Settings.Limits limits;
  private final ReductionContext context;
  private final PendingRequests pending;
  private final ContractAccounting accounting;

  RequestCompletion(
      Settings.Limits limits,
      ReductionContext context,
      PendingRequests pending,
      ContractAccounting accounting) {
    this.limits = limits;
    this.context = context;
    this.pending = pending;
    this.accounting = accounting;
  }

  /** Gives a request its final answer; does nothing if it is already finished. */
  void finish(long id, Effect.Answer answer) {
    PendingRequest request = remove(id);
    if (request == null) {
      return;
    }
    context.emit(new Effect.Reply(request.request(), answer));
    accounting.requestEnded(request.charge(), answer instanceof Effect.Answer.Answered);
  }

  /**
   * Finishes a request whose client disconnected.
   *
   * @return false if it is already finished
   */
  boolean finishWithoutAnswer(long id) {
    PendingRequest request = remove(id);
    if (request == null) {
      return false;
    }
    accounting.requestEnded(request.charge(), false);
    return true;
  }

  private PendingRequest remove(long id) {
    PendingRequest request = pending.remove(id);
    // If cancellation is allowed, the routing policy itself cancels the attempts in flight.
    if (request != null && !limits.cancellationAllowed()) {
      for (PendingPart part : pending.partsWithActiveAttempt(request)) {
        context.emit(new Effect.CancelUnsent(part.attemptInFlight().id(), request.request()));
      }
    }
    return request;
  }
}
