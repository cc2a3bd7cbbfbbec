package bitternpulley.broker;

/** The way to the other aggregators, seen from the core. */
public interface GossipTransport {
  /** Sends what a member is to be told; it may be lost. */
  void send(Effect.SendGossip told);

  /** Sends what concerns a lease; it may be lost. */
  void send(Effect.SendLeaseMessage told);
}
