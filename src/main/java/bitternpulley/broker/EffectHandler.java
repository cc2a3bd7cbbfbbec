package bitternpulley.broker;

/**
 * Carries out effects of the core, one method per kind; {@link Effect#dispatch} selects the method.
 */
public interface EffectHandler {
  /** Sends an attempt. */
  void onStartAttempt(Effect.StartAttempt effect);

  /** Sends several attempts as one call. */
  void onStartCall(Effect.StartCall effect);

  /** Cancels an attempt. */
  void onCancelAttempt(Effect.CancelAttempt effect);

  /** Cancels an attempt unless a byte of it was sent. */
  void onCancelUnsent(Effect.CancelUnsent effect);

  /** Cancels the attempts to a server of which no byte was sent. */
  void onCancelUnsentTo(Effect.CancelUnsentTo effect);

  /** Delivers a final answer. */
  void onReply(Effect.Reply effect);

  /** Schedules an event. */
  void onScheduleEvent(Effect.ScheduleEvent effect);

  /** Closes idle connections. */
  void onCloseIdleConnections(Effect.CloseIdleConnections effect);

  /** Stores an operator override. */
  void onPersistOverride(Effect.PersistOverride effect);

  /** Rejects an operator command. */
  void onRejectCommand(Effect.RejectCommand effect);

  /** Quiesces or resumes this instance. */
  void onQuiesce(Effect.Quiesce effect);

  /** Records an admission decision. */
  void onAdmissionDecided(Effect.AdmissionDecided effect);

  /** Records a settled charge. */
  void onChargeSettled(Effect.ChargeSettled effect);

  /** Sends a gossip message. */
  void onSendGossip(Effect.SendGossip effect);

  /** Sends a lease message. */
  void onSendLeaseMessage(Effect.SendLeaseMessage effect);

  /** Warns operators of a member whose messages are ignored. */
  void onWarnOfIgnoredMember(Effect.WarnOfIgnoredMember effect);

  /** Writes a log line. */
  void onLog(Effect.Log effect);
}
