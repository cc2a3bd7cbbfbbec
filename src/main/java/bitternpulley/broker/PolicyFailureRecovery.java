package bitternpulley.broker;

import java.util.Optional;

/**
 * Makes sure that each request still gets its one final answer after the routing policy failed
 * while an event was handled.
 */
final class PolicyFailureRecovery {
  private final ReductionContext context;
  private final PendingRequests pending;
  private final RequestHandler requests;

  PolicyFailureRecovery(
      ReductionContext context, PendingRequests pending, RequestHandler requests) {
    this.context = context;
    this.pending = pending;
    this.requests = requests;
  }

  /**
   * Ends the request that the event was of at once. Which others the policy did not decide on is
   * not known, so each of them ends at its deadline unless something ends it before.
   */
  void recover(Event event) {
    requestOf(event).ifPresent(requests::abort);
    if (event instanceof Event.RequestReceived received && !hasReply(received.request())) {
      context.emit(
          new Effect.Reply(
              received.request(), new Effect.Answer.Failed(Effect.Answer.Ending.NOTHING_SENT)));
    }
    scheduleDeadlines();
  }

  private Optional<Long> requestOf(Event event) {
    if (event instanceof Event.RequestReceived received) {
      return Optional.of(received.request().id());
    }
    if (event instanceof Event.AttemptEvent ofAttempt) {
      return pending.requestOf(ofAttempt.attempt());
    }
    return Optional.empty();
  }

  private boolean hasReply(Request request) {
    return context.effects().stream()
        .anyMatch(
            effect -> effect instanceof Effect.Reply reply && reply.request().id() == request.id());
  }

  private void scheduleDeadlines() {
    for (PendingRequest request : pending.requests()) {
      if (request.markDeadlineScheduled()) {
        context.emit(
            new Effect.WakeAt(request.deadline(), new Event.RequestDeadlineExpired(request.id())));
      }
    }
  }
}
