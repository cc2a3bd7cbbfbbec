package bitternpulley.membership;

/**
 * What is said of a member: that it stands so, as the process begun at {@code epoch} and as often
 * refuted as {@code incarnation} says. {@code accuser} is who said it first, -1 for the member
 * itself; {@code metadata} and {@code payload} may be null.
 */
public record GossipUpdate(
    int number,
    long epoch,
    int incarnation,
    MemberState state,
    int accuser,
    MemberMetadata metadata,
    MemberPayload payload) {
  /** One that tells of no slot. */
  public GossipUpdate(
      int number,
      long epoch,
      int incarnation,
      MemberState standing,
      int accuser,
      MemberMetadata card) {
    this(number, epoch, incarnation, standing, accuser, card, null);
  }

  /** Bytes that it takes in a datagram, at the most: numbers of 1 to 9 bytes as CBOR has them. */
  int bytes() {
    return 23 + (metadata == null ? 0 : metadata.bytes()) + (payload == null ? 0 : payload.size());
  }

  /**
   * The order of what is known of a member: a later process first, then its later word, then the
   * graver standing.
   */
  boolean newerThan(long otherEpoch, int otherIncarnation) {
    return epoch != otherEpoch ? epoch > otherEpoch : incarnation > otherIncarnation;
  }
}
