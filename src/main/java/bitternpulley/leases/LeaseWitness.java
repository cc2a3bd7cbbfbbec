package bitternpulley.leases;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A witness's side. Whoever asks is named from then on, but may use its lease only when all that
 * was told without its name has run out; so nobody that acts is missing in what another that acts
 * was told. One that started anew and remembers nothing is no case apart: to it all are new, and
 * when they may use its leases those of its earlier process have run out.
 */
final class LeaseWitness {
  private static final class Lease {
    long epoch;

    /** Until when it may be used, at the latest, and from when on. */
    double until = Double.NEGATIVE_INFINITY;

    double usableAt;
  }

  private final int self;
  private final LeaseTerms terms;
  private final Map<Integer, Lease> byMember = new HashMap<>();

  LeaseWitness(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
  }

  /** What the asking member is told; empty where it is told nothing. */
  Optional<LeaseMessage.LeaseGrant> asked(LeaseMessage.LeaseRequest asked, double now) {
    if (asked.from() < 0 || asked.from() >= terms.members()) {
      return Optional.empty();
    }
    Lease l = byMember.computeIfAbsent(asked.from(), n -> new Lease());
    boolean named = now < l.until;
    if (named && asked.epoch() < l.epoch) {
      return Optional.empty(); // an earlier process, or its late word
    }
    if (!named) {
      l.usableAt = now + terms.outlasts();
    } else if (asked.epoch() > l.epoch) {
      // Guards against two processes of one member, the later of which counts on the earlier one's
      // place.
      l.usableAt = Math.max(l.usableAt, l.until);
    }
    l.epoch = asked.epoch();
    l.until = now + terms.outlasts();
    return Optional.of(
        new LeaseMessage.LeaseGrant(
            self, asked.sequence(), Math.max(0, l.usableAt - now), named(now)));
  }

  private BitSet named(double now) {
    BitSet named = new BitSet(terms.members());
    byMember.forEach((member, lease) -> named.set(member, now < lease.until));
    return named;
  }
}
