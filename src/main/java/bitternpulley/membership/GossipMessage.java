package bitternpulley.membership;

import java.util.List;

/**
 * One datagram of the membership protocol. It identifies the sender's process, so every message is
 * evidence that this process runs.
 *
 * @param kind what the message is for
 * @param from number of the sender
 * @param epoch epoch of the sender's process, which is greater after each restart
 * @param incarnation incarnation of that process, which it increments to refute suspicions
 * @param sequence number of the probe that the message belongs to, 0 for none
 * @param target the member to probe in a {@link Kind#RELAY}, the member that answered in an {@link
 *     Kind#ACK}, the member that did not answer in a {@link Kind#NACK}; otherwise the receiver
 * @param viewDigest digest of the sender's view, by which the receiver detects a difference
 * @param payloadDigest digest of the payloads that the sender knows
 * @param updates claims about members, at most {@link #MAX_UPDATES} of which are read
 */
public record GossipMessage(
    Kind kind,
    int from,
    long epoch,
    int incarnation,
    int sequence,
    int target,
    int viewDigest,
    int payloadDigest,
    List<GossipUpdate> updates) {
  /** The maximum number of updates that are read from one message. */
  public static final int MAX_UPDATES = 8;

  private static final int DATAGRAM_BYTES = 256;
  private static final int MAX_HEADER_BYTES = 49;

  /** Bytes of a datagram that are available for updates. */
  static final int UPDATE_BYTES = DATAGRAM_BYTES - MAX_HEADER_BYTES;

  /** Creates a message from a sender that knows no payloads. */
  public GossipMessage(
      Kind kind,
      int from,
      long epoch,
      int incarnation,
      int sequence,
      int target,
      int viewDigest,
      List<GossipUpdate> updates) {
    this(kind, from, epoch, incarnation, sequence, target, viewDigest, 0, updates);
  }

  /** The kinds of messages. */
  public enum Kind {
    /** A probe. */
    PING,
    /** The answer to a probe, sent by its target or forwarded by a relay. */
    ACK,
    /** A request to probe the target on the sender's behalf (SWIM's ping-req). */
    RELAY,
    /** A relay's report that the target did not answer the relay. */
    NACK,
    /** A page of the sender's view, for anti-entropy. */
    SYNC
  }
}
