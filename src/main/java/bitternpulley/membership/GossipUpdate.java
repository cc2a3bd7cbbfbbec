package bitternpulley.membership;

/**
 * A claim about one member, as carried in gossip messages.
 *
 * @param number the member
 * @param epoch epoch of the process that the claim is about
 * @param incarnation incarnation of that process
 * @param state the member's claimed state
 * @param accuser number of a member that claims a state other than alive: the sender of the update,
 *     or a member whose claim it forwards; -1 if there is none
 * @param metadata the member's metadata, or null
 * @param payload the member's payload, or null
 */
public record GossipUpdate(
    int number,
    long epoch,
    int incarnation,
    MemberState state,
    int accuser,
    MemberMetadata metadata,
    MemberPayload payload) {
  /** The accuser of an update that is not an accusation by another member. */
  static final int NO_ACCUSER = -1;

  /** Maximum length of number, epoch, incarnation, state, accuser and array header in CBOR. */
  private static final int MAX_FIXED_BYTES = 23;

  /** Creates an update without a payload. */
  public GossipUpdate(
      int number,
      long epoch,
      int incarnation,
      MemberState state,
      int accuser,
      MemberMetadata metadata) {
    this(number, epoch, incarnation, state, accuser, metadata, null);
  }

  /** The maximum number of bytes that this update occupies in a datagram. */
  int maxEncodedBytes() {
    return MAX_FIXED_BYTES
        + (metadata == null ? 0 : metadata.maxEncodedBytes())
        + (payload == null ? 0 : payload.maxEncodedBytes());
  }

  /** Whether this update is about a later process, or a later incarnation of the same process. */
  boolean isNewerThan(long otherEpoch, int otherIncarnation) {
    return epoch != otherEpoch ? epoch > otherEpoch : incarnation > otherIncarnation;
  }

  /** Whether this update is about exactly this process and incarnation. */
  boolean isSameVersion(long otherEpoch, int otherIncarnation) {
    return epoch == otherEpoch && incarnation == otherIncarnation;
  }
}
