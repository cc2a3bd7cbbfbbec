package bitternpulley.broker;

/**
 * The operators' side, seen from the core: it keeps what they order and tells them what came of it.
 */
public interface OperatorCommands {
  /**
   * Keeps an order; what then stands comes back as {@link Event.OverridesChanged}, after which its
   * caller is told.
   */
  void persist(Effect.PersistOverride order);

  /** Tells a caller that its order cannot be carried out. */
  void reject(Effect.RejectCommand order);

  /** Sends clients away, or takes them again. */
  void quiesce(boolean on);
}
