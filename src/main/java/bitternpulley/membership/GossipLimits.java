package bitternpulley.membership;

/**
 * Upper bounds of received values. A larger value has been made up, and accepting it would leave
 * the member it names no greater one to refute it with.
 */
final class GossipLimits {
  /** Ms by which an epoch may be ahead of the local clock: clocks may differ by hours. */
  private static final double MAX_EPOCH_LEAD_MS = 86_400_000;

  /** A process that has refuted this often continues in a new epoch. */
  static final int MAX_INCARNATION = 1_000_000;

  /** At one publication a second, reached after decades. */
  static final int MAX_PAYLOAD_COUNT = 1_000_000_000;

  private GossipLimits() {}

  /** Whether a process of this epoch and incarnation can exist. */
  static boolean isPlausible(long epoch, int incarnation, double now) {
    return epoch > 0
        && epoch <= now + MAX_EPOCH_LEAD_MS
        && incarnation >= 0
        && incarnation <= MAX_INCARNATION;
  }
}
