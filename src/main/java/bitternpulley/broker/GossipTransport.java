package bitternpulley.broker;

/** Exchanges messages with other aggregators; any message may be lost. */
public interface GossipTransport {
  /** Sends a gossip message. */
  void send(Effect.SendGossip message);

  /** Sends a lease message. */
  void send(Effect.SendLeaseMessage message);

  /** Number of received datagrams that were dropped because of a wrong checksum. */
  long corruptedDatagrams();
}
