package bitternpulley.broker;

/** Sends messages to other aggregators; any of them may be lost. */
public interface GossipTransport {
  /** Sends a gossip message. */
  void send(Effect.SendGossip message);

  /** Sends a message on leases. */
  void send(Effect.SendLeaseMessage message);
}
