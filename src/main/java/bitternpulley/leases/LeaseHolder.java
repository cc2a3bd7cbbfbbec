package bitternpulley.leases;

import java.util.Arrays;
import java.util.BitSet;

/** A member's leases, one from each witness. */
final class LeaseHolder {
  private final int self;
  private final LeaseTerms terms;
  private final WitnessLease[] leases;
  private int lastSequence;

  LeaseHolder(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
    leases = new WitnessLease[terms.witnesses().size()];
    Arrays.setAll(leases, witnessIndex -> new WitnessLease());
  }

  /**
   * Records a request to the witness at this index of {@link LeaseTerms#witnesses} and returns its
   * sequence number; grants that answer earlier requests are ignored from now on.
   */
  int recordRequest(int witnessIndex, double now) {
    leases[witnessIndex].recordRequest(++lastSequence, now);
    return lastSequence;
  }

  /**
   * Applies a grant; returns false if the grant does not answer the latest request to its witness
   * or is invalid.
   */
  boolean accept(LeaseMessage.LeaseGrant grant, double now) {
    int witnessIndex = terms.witnesses().indexOf(grant.from());
    if (witnessIndex < 0 || !leases[witnessIndex].isAnsweredBy(grant)) {
      return false;
    }
    leases[witnessIndex].renew(grant, terms, self, now);
    return true;
  }

  /** The number of witnesses from which this member has a usable lease. */
  int usableLeases(double now) {
    int usable = 0;
    for (WitnessLease lease : leases) {
      usable += lease.isUsable(now) ? 1 : 0;
    }
    return usable;
  }

  /** All members that are listed in at least one usable lease. */
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
