package bitternpulley.broker;

/**
 * The operators' side, seen from the core: it keeps what they order and tells them what came of it.
 */
public interface Operators {
  /**
   * Keeps an order; what then stands comes back as {@link Event.OrdersChanged}, after which its
   * caller is told.
   */
  void keep(Effect.Keep order);

  /** Tells a caller that its order cannot be carried out. */
  void refuse(Effect.Turn order);

  /** Sends clients away, or takes them again. */
  void quiesce(boolean on);
}
