package bitternpulley.broker;

import java.util.Optional;

/**
 * Ensures that each request still gets exactly one final answer after the routing policy failed
 * while handling an event.
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
   * Immediately ends the request that the event belongs to. Which other requests the policy failed
   * to decide on is not known, so each of them ends at its deadline at the latest.
   */
  void recover(Event event) {
    requestIdOf(event).ifPresent(requests::abort);
    if (event instanceof Event.RequestReceived received && !hasReply(received.request())) {
      context.emit(
          new Effect.Reply(
              received.request(), new Effect.Answer.Failed(Effect.Answer.FinalState.NOTHING_SENT)));
    }
    scheduleDeadlines();
  }

  private Optional<Long> requestIdOf(Event event) {
    if (event instanceof Event.RequestReceived received) {
      return Optional.of(received.request().id());
    }
    if (event instanceof Event.AttemptEvent attemptEvent) {
      return pending.requestIdOf(attemptEvent.attempt());
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
            new Effect.ScheduleEvent(
                request.deadline(), new Event.RequestDeadlineExpired(request.id())));
      }
    }
  }
}
