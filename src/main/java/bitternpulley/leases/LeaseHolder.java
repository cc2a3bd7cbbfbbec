package bitternpulley.leases;

import java.util.BitSet;

/**
 * A member's side of its leases, one of each witness: what it holds, until when, and whom each
 * names.
 */
final class LeaseHolder {
  private static final class Lease {
    int sequence;
    double askedAt = Double.NEGATIVE_INFINITY;
    double until = Double.NEGATIVE_INFINITY;
    double usableAt = Double.POSITIVE_INFINITY;
    BitSet named = new BitSet();

    boolean holds(double now) {
      return now < until && now >= usableAt;
    }
  }

  private final int self;
  private final LeaseTerms terms;
  private final Lease[] leases;
  private int sequence;

  LeaseHolder(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
    leases = new Lease[terms.witnesses().size()];
    for (int i = 0; i < leases.length; i++) {
      leases[i] = new Lease();
    }
  }

  /**
   * The number under which a witness is asked now; an answer to an earlier asking counts no more.
   */
  int ask(int witness, double now) {
    Lease l = leases[witness];
    l.sequence = ++sequence;
    l.askedAt = now;
    return sequence;
  }

  /** Whether it was an answer to what was asked last. */
  boolean granted(LeaseMessage.LeaseGrant granted, double now) {
    int witness = terms.witnesses().indexOf(granted.from());
    if (witness < 0 || leases[witness].sequence != granted.sequence() || !(granted.delay() >= 0)) {
      return false;
    }
    Lease l = leases[witness];
    // From the asking, which was before it was granted; from now, which is after.
    l.until = l.askedAt + terms.usableTime();
    l.usableAt = now + terms.outlasts(granted.delay());
    l.named = granted.holders();
    // Guards against an answer that leaves out whoever asked, and would have it take the part of
    // nobody.
    l.named.set(self);
    return true;
  }

  /** Witnesses whose leases may be used. */
  int held(double now) {
    int held = 0;
    for (Lease l : leases) {
      held += l.holds(now) ? 1 : 0;
    }
    return held;
  }

  /** All whom these name. */
  BitSet named(double now) {
    BitSet named = new BitSet(terms.members());
    for (Lease l : leases) {
      if (l.holds(now)) {
        named.or(l.named);
      }
    }
    return named;
  }
}
