package bitternpulley.leases;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Grants leases to members. A member is listed in all grants from its first request on, but may use
 * its lease only after every grant that omits it has expired. Hence the leases of any two members
 * that act at the same time list both members. A restarted witness has lost its state and treats
 * all members as new; by the time they may use their new leases, all leases granted by the
 * witness's earlier process have expired.
 */
final class LeaseWitness {
  private final int self;
  private final LeaseTerms terms;
  private final Map<Integer, GrantedLease> leasesByMember = new HashMap<>();

  LeaseWitness(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
  }

  /**
   * Grants a request; empty if the sender is no configured member, or an earlier process of a
   * member than the one that holds the lease.
   */
  Optional<LeaseMessage.LeaseGrant> grant(LeaseMessage.LeaseRequest request, double now) {
    if (request.from() < 0 || request.from() >= terms.members()) {
      return Optional.empty();
    }
    GrantedLease lease =
        leasesByMember.computeIfAbsent(request.from(), member -> new GrantedLease());
    if (!lease.renew(request.epoch(), terms.expiryWait(), now)) {
      return Optional.empty();
    }
    return Optional.of(
        new LeaseMessage.LeaseGrant(
            self, request.sequence(), lease.remainingDelay(now), holders(now)));
  }

  private BitSet holders(double now) {
    BitSet holders = new BitSet(terms.members());
    leasesByMember.forEach((member, lease) -> holders.set(member, lease.isActive(now)));
    return holders;
  }
}
