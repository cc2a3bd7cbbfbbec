package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;
import java.util.OptionalDouble;

/** Passes events to the routing policy, with the time and the handler of the policy's actions. */
final class PolicyDriver {
  private final Router router;
  private final Router.Actions actions;
  private final ReductionContext context;

  PolicyDriver(Router router, Router.Actions actions, ReductionContext context) {
    this.router = router;
    this.actions = actions;
    this.context = context;
  }

  /**
   * The delay in ms advised before a retry if a request exceeds the site's limit; empty if it fits.
   */
  OptionalDouble rejectionDelay(int pending) {
    return router.rejectionDelay(pending);
  }

  void queryReceived(Router.Query query) {
    router.onQuery(query, context.now(), actions);
  }

  void partReceived(Router.Part part) {
    router.onPart(part, context.now(), actions);
  }

  /** Reports the end of an attempt, {@code elapsed} ms after it was sent. */
  void attemptEnded(AttemptId id, String server, Router.Outcome outcome, double elapsed) {
    router.onAttemptEnded(
        new Router.AttemptEnded(id.part(), id.number(), server, outcome, elapsed),
        context.now(),
        actions);
  }

  void clientDisconnected(long request) {
    router.onClientDisconnected(request, context.now(), actions);
  }

  void serversChanged(Router.EndpointListKind kind, List<Router.Endpoint> endpoints) {
    router.onServersChanged(kind, endpoints, context.now(), actions);
  }

  void serverReadmitted(Router.Endpoint endpoint) {
    router.onServerReadmitted(endpoint, context.now(), actions);
  }

  void hotRestartRoleChanged(Router.HotRestartRole role) {
    router.onHotRestart(role);
  }

  void processPaused(double pausedMs) {
    router.onPause(pausedMs, context.now());
  }

  void useQuota(Router.QuotaShare quota) {
    router.useQuota(quota);
  }

  void alarmFired(String token) {
    router.onAlarm(token, context.now(), actions);
  }

  /** Tells the policy that all events of the batch have been delivered. */
  void completeBatch() {
    router.completeBatch(context.now(), actions);
  }
}
