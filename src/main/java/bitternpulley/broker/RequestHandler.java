package bitternpulley.broker;

import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.routing.Router;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.OptionalDouble;

/** Handles events of whole requests: arrival, a disconnected client, a deadline that passed. */
final class RequestHandler {
  private static final System.Logger LOG = System.getLogger(RequestHandler.class.getName());

  private final ReductionContext context;
  private final PendingRequests pending;
  private final AttemptControl attempts;
  private final RequestCompletion completion;
  private final ContractAccounting accounting;
  private final PolicyDriver policy;

  RequestHandler(
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

  /**
   * Admits or rejects a request, first by its contract if contracts are in force, then by the
   * site's limit.
   */
  void received(Request request) {
    if (!accounting.isActive()) {
      accept(request, null);
      return;
    }
    AdmissionDecision decision = accounting.admit(request);
    context.emit(new Effect.AdmissionDecided(request.id(), decision));
    if (decision instanceof AdmissionDecision.Rejected rejected) {
      context.emit(
          new Effect.Reply(
              request,
              new Effect.Answer.Rejected(
                  rejected.retryAfter(), Effect.Answer.FinalState.NOTHING_SENT, rejected)));
    } else {
      accept(request, (UsageCharge) decision);
    }
  }

  private void accept(Request request, UsageCharge charge) {
    double timeLeft =
        charge == null
            ? request.timeLeft()
            : Math.min(request.timeLeft(), charge.terms().deadline());
    OptionalDouble rejectionDelay = policy.rejectionDelay(pending.count());
    PendingRequest added = pending.add(request, charge, timeLeft, context.now());
    if (rejectionDelay.isPresent()) {
      completion.finish(
          request.id(),
          new Effect.Answer.Rejected(
              rejectionDelay.getAsDouble(), Effect.Answer.FinalState.NOTHING_SENT));
      return;
    }
    policy.queryReceived(asQuery(request, charge, timeLeft));
    passPartsToPolicy(added);
  }

  private static Router.Query asQuery(Request request, UsageCharge charge, double timeLeft) {
    Router.Terms terms =
        charge == null ? request.terms() : request.terms().underContract(charge.terms());
    return new Router.Query(
        request.id(),
        request.id(),
        request.queryClass(),
        request.parts().size(),
        request.estimatedWork(),
        request.retry(),
        timeLeft,
        0,
        terms,
        request.lateness());
  }

  private void passPartsToPolicy(PendingRequest added) {
    List<Request.QueryPart> parts = added.request().parts();
    for (int index = 0; index < parts.size(); index++) {
      Request.QueryPart part = parts.get(index);
      long partId = pending.addPart(added, index);
      policy.partReceived(
          new Router.Part(partId, added.id(), part.shard(), part.weight(), part.estimatedWork()));
    }
  }

  /** Drops a request whose client disconnected. */
  void clientDisconnected(long id) {
    if (completion.finishWithoutAnswer(id)) {
      policy.clientDisconnected(id);
    }
  }

  /**
   * Fails a request that the routing policy did not finish, and cancels its attempts. Does nothing
   * if the request is already finished.
   */
  void abort(long id) {
    PendingRequest request = pending.request(id);
    if (request == null) {
      return;
    }
    completion.finish(id, new Effect.Answer.Failed(pending.finalState(request, context.now())));
    for (PendingPart part : pending.partsWithActiveAttempt(request)) {
      attempts.cancel(part, Router.Outcome.CANCELLED);
    }
    try {
      policy.clientDisconnected(id);
    } catch (RuntimeException | Error failure) {
      // The request is already answered, and the policy may have failed on it before.
      LOG.log(
          Level.ERROR, "Routing policy failed while handling the end of request " + id, failure);
    }
  }
}
