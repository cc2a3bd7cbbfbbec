package bitternpulley.membership;

/**
 * Upper bounds of received values. A larger value is considered forged; if it were accepted, the
 * member concerned would have no greater value left to refute it with.
 */
final class GossipLimits {
  /** Ms by which an epoch may be ahead of the local clock; clocks may differ by hours. */
  private static final double MAX_EPOCH_LEAD_MS = 86_400_000;

  /** A process that reaches this incarnation continues in a new epoch. */
  static final int MAX_INCARNATION = 1_000_000;

  /** At one publication per second, this number is reached after decades. */
  static final int MAX_PAYLOAD_SEQUENCE_NUMBER = 1_000_000_000;

  private GossipLimits() {}

  /** Whether a process can have this epoch and incarnation. */
  static boolean isPlausible(long epoch, int incarnation, double now) {
    return epoch > 0
        && epoch <= now + MAX_EPOCH_LEAD_MS
        && incarnation >= 0
        && incarnation <= MAX_INCARNATION;
  }
}
