package bitternpulley.leases;

import java.util.BitSet;

/** What members and witnesses tell each other; each may be lost, late, repeated or overtaken. */
public sealed interface LeaseMessage {
  /** Who says it. */
  int from();

  /** A member asks a witness for a lease, for the process begun at {@code epoch}. */
  record LeaseRequest(int from, long epoch, int sequence) implements LeaseMessage {}

  /**
   * A witness grants what was asked under {@code sequence}, for use {@code delay} so many ms;
   * {@code holders} are all that hold a lease of it.
   */
  record LeaseGrant(int from, int sequence, double delay, BitSet holders) implements LeaseMessage {
    /** Guards against a set that its sender goes on changing. */
    public LeaseGrant {
      holders = (BitSet) holders.clone();
    }

    @Override
    public BitSet holders() {
      return (BitSet) holders.clone();
    }
  }
}
