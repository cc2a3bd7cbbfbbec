package bitternpulley.leases;

import java.util.BitSet;

/** A holder's record of its lease from one witness; times are ms of the holder's clock. */
final class WitnessLease {
  private int sequence;
  private double requestedAt = Double.NEGATIVE_INFINITY;
  private double expiresAt = Double.NEGATIVE_INFINITY;
  private double usableFrom = Double.POSITIVE_INFINITY;
  private BitSet holders = new BitSet();

  /** Records a request; from now on only a grant with its sequence number is accepted. */
  void recordRequest(int requestSequence, double now) {
    sequence = requestSequence;
    requestedAt = now;
  }

  /** Whether a grant answers the latest request and has a valid delay. */
  boolean isAnsweredBy(LeaseMessage.LeaseGrant grant) {
    return sequence == grant.sequence() && grant.delay() >= 0;
  }

  /**
   * Renews the lease. Its end is counted from the request, which precedes the grant; the delay is
   * counted from the receipt, which follows the grant.
   */
  void renew(LeaseMessage.LeaseGrant grant, LeaseTerms terms, int self, double now) {
    expiresAt = requestedAt + terms.usableTime();
    usableFrom = now + terms.withDriftMargin(grant.delay());
    holders = grant.holders();
    // The budget is divided by the number of holders, so this member has to count itself.
    holders.set(self);
  }

  boolean isUsable(double now) {
    return now < expiresAt && now >= usableFrom;
  }

  void addHoldersTo(BitSet members) {
    members.or(holders);
  }
}
