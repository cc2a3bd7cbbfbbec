package bitternpulley.leases;

import java.util.Arrays;
import java.util.BitSet;

/** A member's leases, one of each witness. */
final class LeaseHolder {
  private final int self;
  private final LeaseTerms terms;
  private final WitnessLease[] leases;
  private int lastSequence;

  LeaseHolder(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
    leases = new WitnessLease[terms.witnesses().size()];
    Arrays.setAll(leases, position -> new WitnessLease());
  }

  /**
   * Records a request to the witness at this position and returns its sequence number; grants of
   * earlier requests no longer count.
   */
  int request(int position, double now) {
    leases[position].request(++lastSequence, now);
    return lastSequence;
  }

  /** Takes a grant; false where it does not answer the latest request to its witness. */
  boolean accept(LeaseMessage.LeaseGrant grant, double now) {
    int position = terms.witnesses().indexOf(grant.from());
    if (position < 0 || !leases[position].isAnsweredBy(grant)) {
      return false;
    }
    leases[position].renew(grant, terms, self, now);
    return true;
  }

  /** Number of witnesses whose leases are usable. */
  int usableLeases(double now) {
    int usable = 0;
    for (WitnessLease lease : leases) {
      usable += lease.isUsable(now) ? 1 : 0;
    }
    return usable;
  }

  /** All members that any usable lease lists. */
  BitSet activeMembers(double now) {
    BitSet members = new BitSet(terms.members());
    for (WitnessLease lease : leases) {
      if (lease.isUsable(now)) {
        lease.addHoldersTo(members);
      }
    }
    return members;
  }
}
