package bitternpulley.membership;

import java.util.List;

/**
 * One datagram. Its sender's number, epoch and incarnation stand in each: who hears it hears that
 * this process runs.
 *
 * @param target whom a {@link Kind#RELAY} asks about, or an {@link Kind#ACK} speaks for; else the
 *     receiver
 * @param viewDigest the sender's digest of its view, so that a difference is noticed
 * @param payloadDigest the same of what members tell of themselves
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
  /** One whose sender knows of nothing that members tell. */
  public GossipMessage(
      Kind kind,
      int from,
      long epoch,
      int incarnation,
      int sequence,
      int target,
      int view,
      List<GossipUpdate> rumors) {
    this(kind, from, epoch, incarnation, sequence, target, view, 0, rumors);
  }

  /** Most rumors that a message may bear; what is beyond is not looked at. */
  public static final int MAX_UPDATES = 8;

  /** Bytes that a datagram has for rumors, of the platform's 256. */
  static final int UPDATE_BYTES = 256 - 47;

  /**
   * A probe; its answer; a request to probe another; word that this other did not answer; a page of
   * the sender's view.
   */
  public enum Kind {
    PING,
    ACK,
    RELAY,
    NACK,
    SYNC
  }
}
