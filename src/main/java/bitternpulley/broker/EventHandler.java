package bitternpulley.broker;

/** Handles events of the core, one method per kind; {@link Event#dispatch} selects the method. */
public interface EventHandler {
  /** Handles a request that was received. */
  void onRequestReceived(Event.RequestReceived event);

  /** Handles a client that disconnected. */
  void onClientDisconnected(Event.ClientDisconnected event);

  /** Handles an endpoint list, or a change to it. */
  void onServersChanged(Event.ServersChanged event);

  /** Handles the end of an attempt. */
  void onAttemptEnded(Event.AttemptEnded event);

  /** Handles a request that a server found invalid. */
  void onRequestRejectedByServer(Event.RequestRejectedByServer event);

  /** Handles a completed cancellation. */
  void onAttemptCancelled(Event.AttemptCancelled event);

  /** Handles a request deadline that passed. */
  void onRequestDeadlineExpired(Event.RequestDeadlineExpired event);

  /** Handles an attempt that was not sent because of a limit on attempts. */
  void onAttemptNotSent(Event.AttemptNotSent event);

  /** Handles an attempt timeout. */
  void onAttemptTimedOut(Event.AttemptTimedOut event);

  /** Handles an operator command. */
  void onOperatorCommandReceived(Event.OperatorCommandReceived event);

  /** Handles new operator overrides. */
  void onOverridesChanged(Event.OverridesChanged event);

  /** Handles a hot restart that begins or ends. */
  void onHotRestartRoleChanged(Event.HotRestartRoleChanged event);

  /** Handles a pause during which this process did not run. */
  void onProcessPaused(Event.ProcessPaused event);

  /** Handles new contracts. */
  void onContractsActivated(Event.ContractsActivated event);

  /** Handles the start of leases. */
  void onLeasesStarted(Event.LeasesStarted event);

  /** Handles the start of membership. */
  void onMembershipStarted(Event.MembershipStarted event);

  /** Handles the periodic step of membership. */
  void onMembershipTick(Event.MembershipTick event);

  /** Handles a gossip message. */
  void onGossipReceived(Event.GossipReceived event);

  /** Handles a lease message. */
  void onLeaseMessageReceived(Event.LeaseMessageReceived event);

  /** Handles the request to leave the membership. */
  void onMembershipLeaveRequested(Event.MembershipLeaveRequested event);

  /** Handles an alarm of the routing policy. */
  void onAlarmFired(Event.AlarmFired event);
}
