package bitternpulley.membership;

import java.util.List;

/**
 * One datagram of the membership protocol. It names its sender's process, so every message is
 * evidence that this process runs.
 *
 * @param kind what the message is for
 * @param from number of the sender
 * @param epoch start of the sender's process
 * @param incarnation how often that process has refuted a suspicion
 * @param sequence number of the probe that the message belongs to, 0 for none
 * @param target the member that a {@link Kind#RELAY} asks to probe or an {@link Kind#ACK} speaks
 *     for; otherwise the receiver
 * @param viewDigest digest of the sender's view, by which a difference is detected
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
  /** The most updates that are read of one message. */
  public static final int MAX_UPDATES = 8;

  private static final int DATAGRAM_BYTES = 256;
  private static final int MAX_HEADER_BYTES = 49;

  /** Bytes of a datagram that are left for updates. */
  static final int UPDATE_BYTES = DATAGRAM_BYTES - MAX_HEADER_BYTES;

  /** A message whose sender knows no payloads. */
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
    /** The answer to a probe, by its target or passed on by a relay. */
    ACK,
    /** A request to probe the target on the sender's behalf (SWIM's ping-req). */
    RELAY,
    /** A relay's message that the target did not answer it. */
    NACK,
    /** A page of the sender's view, for anti-entropy. */
    SYNC
  }
}
