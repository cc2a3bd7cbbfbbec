package bitternpulley.leases;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Grants leases to members. A member is listed in all grants from its first request on, but may use
 * its lease only when every grant that omits it has expired. Hence any two members that act at the
 * same time list each other. A witness that restarted and remembers nothing treats all members as
 * new; when they may use their leases, those granted by its earlier process have expired.
 */
final class LeaseWitness {
  private final int self;
  private final LeaseTerms terms;
  private final Map<Integer, GrantedLease> byMember = new HashMap<>();

  LeaseWitness(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
  }

  /** Grants a request; empty for one of no member or of an earlier process of a member. */
  Optional<LeaseMessage.LeaseGrant> grant(LeaseMessage.LeaseRequest request, double now) {
    if (request.from() < 0 || request.from() >= terms.members()) {
      return Optional.empty();
    }
    GrantedLease lease = byMember.computeIfAbsent(request.from(), member -> new GrantedLease());
    if (!lease.renew(request.epoch(), terms.expiryWait(), now)) {
      return Optional.empty();
    }
    return Optional.of(
        new LeaseMessage.LeaseGrant(self, request.sequence(), lease.delay(now), holders(now)));
  }

  private BitSet holders(double now) {
    BitSet holders = new BitSet(terms.members());
    byMember.forEach((member, lease) -> holders.set(member, lease.isActive(now)));
    return holders;
  }
}
