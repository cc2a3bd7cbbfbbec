package bitternpulley.broker;

/** Carries out the effects of operator commands: stores overrides and answers the callers. */
public interface OperatorCommands {
  /**
   * Stores an override. The overrides in force then come back as {@link Event.OverridesChanged},
   * and the caller is answered after that.
   */
  void persist(Effect.PersistOverride override);

  /** Answers a caller that its command cannot be carried out. */
  void reject(Effect.RejectCommand command);

  /** Sends clients away, or serves them again. */
  void quiesce(boolean on);
}
