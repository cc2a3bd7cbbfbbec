package bitternpulley.broker;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;

/**
 * Turns the routing policy's actions into state changes and effects. Actions on requests, parts and
 * attempts that are already finished are ignored.
 */
final class PolicyActionHandler implements Router.Actions {
  private final Settings settings;
  private final ReductionContext context;
  private final PendingRequests pending;
  private final AttemptControl attempts;
  private final RequestCompletion completion;
  private final ContractAccounting accounting;

  PolicyActionHandler(
      Settings settings,
      ReductionContext context,
      PendingRequests pending,
      AttemptControl attempts,
      RequestCompletion completion,
      ContractAccounting accounting) {
    this.settings = settings;
    this.context = context;
    this.pending = pending;
    this.attempts = attempts;
    this.completion = completion;
    this.accounting = accounting;
  }

  @Override
  public void send(long partId, String server, double timeout) {
    PendingPart part = pending.part(partId);
    if (part == null) {
      return;
    }
    AttemptId id = part.nextAttemptId();
    if (!maySend(part, id)) {
      context.enqueue(new Event.AttemptNotSent(id, server));
      return;
    }
    PendingRequest request = part.request();
    Settings.QueryClass queryClass = settings.classes().get(request.request().queryClass());
    attempts.start(
        part,
        id,
        server,
        Math.min(timeout, request.deadline() - context.now()),
        part.latestSendTime(queryClass));
  }

  /** Enforces the limits on attempts, regardless of what the routing policy requests. */
  private boolean maySend(PendingPart part, AttemptId id) {
    return !pending.isFinished(part)
        && !part.hasAttemptInFlight()
        && id.number() < settings.limits().maxAttempts()
        && accounting.allowAttempt(part.request().charge(), id.number());
  }

  @Override
  public void cancel(long partId, int attempt) {
    PendingPart part = pending.partInFlight(new AttemptId(partId, attempt));
    if (part != null) {
      attempts.cancel(part, Router.Outcome.CANCELLED);
    }
  }

  @Override
  public void answer(long query, boolean complete) {
    PendingRequest request = pending.request(query);
    if (request != null) {
      completion.finish(
          query,
          new Effect.Answer.Answered(
              complete, request.values(), pending.finalState(request, context.now()).missing()));
    }
  }

  @Override
  public void reject(long query, double retryAfter) {
    PendingRequest request = pending.request(query);
    if (request != null) {
      completion.finish(
          query,
          new Effect.Answer.Rejected(retryAfter, pending.finalState(request, context.now())));
    }
  }

  @Override
  public void fail(long query) {
    PendingRequest request = pending.request(query);
    if (request != null) {
      completion.finish(
          query, new Effect.Answer.Failed(pending.finalState(request, context.now())));
    }
  }

  @Override
  public void scheduleAlarm(double time, String token) {
    context.emit(new Effect.ScheduleEvent(time, new Event.AlarmFired(token)));
  }

  @Override
  public void watchEndpoints() {
    // Discovery is always watched, so there is nothing to start.
  }

  @Override
  public void closeIdleConnections(String server) {
    context.emit(new Effect.CloseIdleConnections(server));
  }

  @Override
  public void log(String text) {
    context.emit(new Effect.Log(text));
  }
}
