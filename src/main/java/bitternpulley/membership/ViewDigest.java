package bitternpulley.membership;

import java.util.Collection;

/**
 * Digests of a view and of the payloads in it, by which instances detect a difference. Computed
 * only after a change, since every message carries them.
 */
final class ViewDigest {
  private static final long NOT_COMPUTED = 0;

  private final int self;
  private long computedForEpoch = NOT_COMPUTED;
  private int view;
  private int payloads;

  ViewDigest(int self) {
    this.self = self;
  }

  /** A member has changed. */
  void invalidate() {
    computedForEpoch = NOT_COMPUTED;
  }

  /**
   * Equal on instances that hold the same members to be active, dead and left. Suspicion is
   * transient and does not count.
   */
  int view(long ownEpoch, Collection<Member> others) {
    computeIfNeeded(ownEpoch, others);
    return view;
  }

  /** Equal on instances that know the same payloads; {@code ownCount} is that of this instance. */
  int payloads(long ownEpoch, int ownCount, Collection<Member> others) {
    computeIfNeeded(ownEpoch, others);
    return payloads + (ownCount == 0 ? 0 : mix(self, ownEpoch, ownCount));
  }

  private void computeIfNeeded(long ownEpoch, Collection<Member> others) {
    if (computedForEpoch == ownEpoch) {
      return;
    }
    computedForEpoch = ownEpoch;
    view = mix(self, ownEpoch, 0);
    payloads = 0;
    for (Member member : others) {
      if (member.isKnown() || !member.isActive()) {
        view += mix(member.number(), member.epoch(), stateCode(member));
      }
      payloads +=
          member.payload() == null
              ? 0
              : mix(member.number(), member.epoch(), member.payload().count());
    }
  }

  /** Part of the protocol: all members have to compute the same digest. */
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
