package bitternpulley.membership;

/**
 * A claim about one member, as gossip carries it.
 *
 * @param number the member
 * @param epoch start of the process that the claim is about
 * @param incarnation how often that process has refuted a suspicion
 * @param state the member's claimed state
 * @param accuser who first claimed a state other than alive, -1 for the member itself
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
  /** Stands for the member itself in place of an accuser. */
  static final int NO_ACCUSER = -1;

  /** Number, epoch, incarnation, state, accuser and array header at their longest in CBOR. */
  private static final int MAX_FIXED_BYTES = 23;

  /** An update without a payload. */
  public GossipUpdate(
      int number,
      long epoch,
      int incarnation,
      MemberState state,
      int accuser,
      MemberMetadata metadata) {
    this(number, epoch, incarnation, state, accuser, metadata, null);
  }

  /** The most bytes that it takes in a datagram. */
  int maxEncodedBytes() {
    return MAX_FIXED_BYTES
        + (metadata == null ? 0 : metadata.maxEncodedBytes())
        + (payload == null ? 0 : payload.maxEncodedBytes());
  }

  /** Whether it is about a later process, or a later incarnation of the same process. */
  boolean isNewerThan(long otherEpoch, int otherIncarnation) {
    return epoch != otherEpoch ? epoch > otherEpoch : incarnation > otherIncarnation;
  }

  /** Whether it is about exactly this process and incarnation. */
  boolean isSameVersion(long otherEpoch, int otherIncarnation) {
    return epoch == otherEpoch && incarnation == otherIncarnation;
  }
}
