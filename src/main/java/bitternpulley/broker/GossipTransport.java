package bitternpulley.broker;

/** Exchanges messages with other aggregators; any of them may be lost. */
public interface GossipTransport {
  /** Sends a gossip message. */
  void send(Effect.SendGossip message);

  /** Sends a message on leases. */
  void send(Effect.SendLeaseMessage message);

  /** Number of received datagrams so far that were dropped for their checksum. */
  long corruptedDatagrams();
}
