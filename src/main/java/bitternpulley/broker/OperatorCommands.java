package bitternpulley.broker;

/** Carries out the effects of operator commands: stores overrides and answers the callers. */
public interface OperatorCommands {
  /**
   * Stores an override, then submits the overrides in force as {@link Event.OverridesChanged}, and
   * answers the caller after that.
   */
  void persist(Effect.PersistOverride override);

  /** Tells a caller that its command cannot be carried out. */
  void reject(Effect.RejectCommand command);

  /** Quiesces or resumes this instance. */
  void setQuiesced(boolean quiesced);
}
