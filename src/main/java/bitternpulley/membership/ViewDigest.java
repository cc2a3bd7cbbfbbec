package bitternpulley.membership;

import java.util.Collection;

/**
 * Digests of a view and of the payloads in it, by which instances detect that they differ. They are
 * recomputed only after a change, since every message carries them.
 */
final class ViewDigest {
  private static final long NOT_COMPUTED = 0;

  private final int self;
  private long computedForEpoch = NOT_COMPUTED;
  private int viewDigest;
  private int payloadDigest;

  ViewDigest(int self) {
    this.self = self;
  }

  /** Must be called when a member has changed. */
  void invalidate() {
    computedForEpoch = NOT_COMPUTED;
  }

  /**
   * Digest that is equal on instances that see the same processes of the members as active, dead
   * and left. Suspicion is transient and does not count.
   */
  int viewDigest(long ownEpoch, Collection<Member> others) {
    computeIfNeeded(ownEpoch, others);
    return viewDigest;
  }

  /**
   * Digest that is equal on instances that know the same payloads; {@code ownSequenceNumber} is
   * that of this instance's payload.
   */
  int payloadDigest(long ownEpoch, int ownSequenceNumber, Collection<Member> others) {
    computeIfNeeded(ownEpoch, others);
    return payloadDigest + (ownSequenceNumber == 0 ? 0 : mix(self, ownEpoch, ownSequenceNumber));
  }

  private void computeIfNeeded(long ownEpoch, Collection<Member> others) {
    if (computedForEpoch == ownEpoch) {
      return;
    }
    computedForEpoch = ownEpoch;
    viewDigest = mix(self, ownEpoch, 0);
    payloadDigest = 0;
    for (Member member : others) {
      if (member.isKnown() || !member.isActive()) {
        viewDigest += mix(member.number(), member.epoch(), stateCode(member));
      }
      payloadDigest +=
          member.payload() == null
              ? 0
              : mix(member.number(), member.epoch(), member.payload().sequenceNumber());
    }
  }

  /** These codes are part of the protocol: all members must compute the same digest. */
  private static int stateCode(Member member) {
    return switch (member.state()) {
      case ALIVE, SUSPECT -> 0;
      case DEAD -> 2;
      case LEFT -> 3;
    };
  }

  private static int mix(int number, long epoch, int value) {
    long bits =
        ((number * 0x9E3779B97F4A7C15L) ^ (epoch * 0xC2B2AE3D27D4EB4FL))
            + value * 0x165667B19E3779F9L;
    bits = (bits ^ (bits >>> 32)) * 0xD6E8FEB86659FD93L;
    return (int) (bits ^ (bits >>> 29));
  }
}
