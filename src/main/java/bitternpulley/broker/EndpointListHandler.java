package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;

/**
 * Handles changes of the endpoint list and cancels unsent attempts to servers that accept no new
 * work.
 */
final class EndpointListHandler {
  private final ReductionContext context;
  private final PendingRequests pending;
  private final ServerDirectory directory;
  private final PolicyDriver policy;

  EndpointListHandler(
      ReductionContext context,
      PendingRequests pending,
      ServerDirectory directory,
      PolicyDriver policy) {
    this.context = context;
    this.pending = pending;
    this.directory = directory;
    this.policy = policy;
  }

  /** Applies an endpoint list from discovery, or a change to it. */
  void serversChanged(Router.EndpointListKind kind, List<Router.Endpoint> endpoints) {
    passToPolicy(kind, directory.update(kind, endpoints));
  }

  /** Passes endpoints, with the operator overrides already applied, to the routing policy. */
  void passToPolicy(Router.EndpointListKind kind, List<Router.Endpoint> endpoints) {
    policy.serversChanged(kind, endpoints);
    cancelUnsentToUnavailableServers();
  }

  /** Prevents parts that wait for a connection from reaching a server after its drain began. */
  private void cancelUnsentToUnavailableServers() {
    pending.parts().stream()
        .filter(PendingPart::hasAttemptInFlight)
        .map(part -> part.attemptInFlight().server())
        .filter(server -> !directory.acceptsNewWork(server))
        .distinct()
        .forEach(server -> context.emit(new Effect.CancelUnsentTo(server)));
  }
}
