package bitternpulley.leases;

import java.util.BitSet;

/** What members and witnesses tell each other; each may be lost, late, repeated or overtaken. */
public sealed interface LeaseMessage {
  /** Who says it. */
  int from();

  /** A member asks a witness for a lease, for the process begun at {@code epoch}. */
  record Asked(int from, long epoch, int sequence) implements LeaseMessage {}

  /**
   * A witness grants what was asked under {@code sequence}, for use {@code after} so many ms;
   * {@code named} are all that hold a lease of it.
   */
  record Granted(int from, int sequence, double after, BitSet named) implements LeaseMessage {
    /** Guards against a set that its sender goes on changing. */
    public Granted {
      named = (BitSet) named.clone();
    }

    @Override
    public BitSet named() {
      return (BitSet) named.clone();
    }
  }
}
