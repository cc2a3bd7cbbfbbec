package bitternpulley.broker;

/** Passes each event to the handler that is responsible for it. */
final class EventDispatcher implements EventHandler {
  private final RequestHandler requests;
  private final AttemptHandler attempts;
  private final EndpointListHandler endpointList;
  private final OperatorCommandHandler operatorCommands;
  private final ContractAccounting accounting;
  private final MembershipHandler membership;
  private final PolicyDriver policy;

  EventDispatcher(
      RequestHandler requests,
      AttemptHandler attempts,
      EndpointListHandler endpointList,
      OperatorCommandHandler operatorCommands,
      ContractAccounting accounting,
      MembershipHandler membership,
      PolicyDriver policy) {
    this.requests = requests;
    this.attempts = attempts;
    this.endpointList = endpointList;
    this.operatorCommands = operatorCommands;
    this.accounting = accounting;
    this.membership = membership;
    this.policy = policy;
  }

  @Override
  public void onRequestReceived(Event.RequestReceived event) {
    requests.received(event.request());
  }

  @Override
  public void onClientDisconnected(Event.ClientDisconnected event) {
    requests.clientDisconnected(event.requestId());
  }

  @Override
  public void onRequestDeadlineExpired(Event.RequestDeadlineExpired event) {
    requests.abort(event.requestId());
  }

  @Override
  public void onAttemptEnded(Event.AttemptEnded event) {
    attempts.ended(event.attempt(), event.outcome(), event.value());
  }

  @Override
  public void onRequestRejectedByServer(Event.RequestRejectedByServer event) {
    attempts.requestRejected(event.attempt(), event.reason());
  }

  @Override
  public void onAttemptCancelled(Event.AttemptCancelled event) {
    attempts.cancelled(event.attempt());
  }

  @Override
  public void onAttemptNotSent(Event.AttemptNotSent event) {
    attempts.notSent(event.attempt(), event.server());
  }

  @Override
  public void onAttemptTimedOut(Event.AttemptTimedOut event) {
    attempts.timedOut(event);
  }

  @Override
  public void onServersChanged(Event.ServersChanged event) {
    endpointList.serversChanged(event.kind(), event.endpoints());
  }

  @Override
  public void onOperatorCommandReceived(Event.OperatorCommandReceived event) {
    operatorCommands.received(event.command(), event.caller());
  }

  @Override
  public void onOverridesChanged(Event.OverridesChanged event) {
    operatorCommands.overridesChanged(event.overrides());
  }

  @Override
  public void onHotRestartRoleChanged(Event.HotRestartRoleChanged event) {
    policy.hotRestartRoleChanged(event.role());
  }

  @Override
  public void onProcessPaused(Event.ProcessPaused event) {
    policy.processPaused(event.pausedMs());
  }

  @Override
  public void onContractsActivated(Event.ContractsActivated event) {
    accounting.activate(event.contracts());
  }

  @Override
  public void onLeasesStarted(Event.LeasesStarted event) {
    policy.useQuota(event.leases()::quotaFactor);
    membership.useLeases(event.leases());
  }

  @Override
  public void onMembershipStarted(Event.MembershipStarted event) {
    membership.startMembership(event.membership());
  }

  @Override
  public void onMembershipTick(Event.MembershipTick event) {
    membership.tick();
  }

  @Override
  public void onGossipReceived(Event.GossipReceived event) {
    membership.gossipReceived(event.message());
  }

  @Override
  public void onLeaseMessageReceived(Event.LeaseMessageReceived event) {
    membership.leaseMessageReceived(event.message());
  }

  @Override
  public void onMembershipLeaveRequested(Event.MembershipLeaveRequested event) {
    membership.leave();
  }

  @Override
  public void onAlarmFired(Event.AlarmFired event) {
    policy.alarmFired(event.token());
  }
}
