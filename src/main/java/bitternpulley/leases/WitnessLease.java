package bitternpulley.leases;

import java.util.BitSet;

/** A holder's record of its lease of one witness. Times are ms of the holder's clock. */
final class WitnessLease {
  private int sequence;
  private double requestedAt = Double.NEGATIVE_INFINITY;
  private double expiresAt = Double.NEGATIVE_INFINITY;
  private double usableFrom = Double.POSITIVE_INFINITY;
  private BitSet holders = new BitSet();

  /** Records a request; only a grant that repeats its sequence number counts from now on. */
  void request(int requestSequence, double now) {
    sequence = requestSequence;
    requestedAt = now;
  }

  /** Whether a grant answers the latest request and has a valid delay. */
  boolean isAnsweredBy(LeaseMessage.LeaseGrant grant) {
    return sequence == grant.sequence() && grant.delay() >= 0;
  }

  /**
   * Renews the lease. Its end counts from the request, which precedes the grant; the delay counts
   * from receipt, which follows it.
   */
  void renew(LeaseMessage.LeaseGrant grant, LeaseTerms terms, int self, double now) {
    expiresAt = requestedAt + terms.usableTime();
    usableFrom = now + terms.expiryWait(grant.delay());
    holders = grant.holders();
    // A grant that omits this member must not give it the quota of nobody.
    holders.set(self);
  }

  boolean isUsable(double now) {
    return now < expiresAt && now >= usableFrom;
  }

  void addHoldersTo(BitSet members) {
    members.or(holders);
  }
}
