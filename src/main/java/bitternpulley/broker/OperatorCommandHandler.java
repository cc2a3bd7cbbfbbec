package bitternpulley.broker;

import bitternpulley.routing.Router;

/** Handles operator commands, and applies the resulting overrides once they are stored. */
final class OperatorCommandHandler {
  private final ReductionContext context;
  private final ServerDirectory directory;
  private final EndpointListHandler endpointList;
  private final PolicyDriver policy;

  OperatorCommandHandler(
      ReductionContext context,
      ServerDirectory directory,
      EndpointListHandler endpointList,
      PolicyDriver policy) {
    this.context = context;
    this.directory = directory;
    this.endpointList = endpointList;
    this.policy = policy;
  }

  /** Requests that a command be stored, or rejects the command if it names an unknown server. */
  void received(OperatorOverrides.OperatorCommand command, Payload caller) {
    String server = command.server();
    context.emit(
        server == null || directory.isKnown(server)
            ? new Effect.PersistOverride(command, caller)
            : new Effect.RejectCommand(caller, "no server is known by this id"));
  }

  /** Puts the stored overrides in force. */
  void overridesChanged(OperatorOverrides overrides) {
    OverridesChange change = directory.applyOverrides(overrides);
    if (!change.cordoned().isEmpty()) {
      endpointList.passToPolicy(Router.EndpointListKind.CHANGES, change.cordoned());
    }
    for (Router.Endpoint endpoint : change.readmitted()) {
      policy.serverReadmitted(endpoint);
    }
    if (change.quiesceChanged()) {
      context.emit(new Effect.Quiesce(overrides.quiesced()));
    }
  }
}
