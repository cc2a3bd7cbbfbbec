package bitternpulley.leases;

import java.util.List;

/**
 * The lease parameters, which have to be equal on all members.
 *
 * @param members number of configured members
 * @param witnesses numbers of the members that grant leases
 * @param duration ms for which a lease is granted; raised where a fleet of this size would make
 *     renewal too frequent
 * @param effectTime ms for which a decision taken under a lease may still take effect; holders stop
 *     using a lease this long before it ends
 */
public record LeaseTerms(int members, List<Integer> witnesses, double duration, double effectTime) {
  /** The largest number of members that a grant can list in one datagram of 256 bytes. */
  public static final int MAX_MEMBERS = 1500;

  /** Lower bound of the duration per member: a witness gets at most 40 requests a second. */
  private static final double MIN_DURATION_PER_MEMBER_MS = 100;

  private static final double RENEWALS_PER_LEASE = 4;

  /** Relative difference in rate between two clocks, far above that of real machines. */
  private static final double MAX_CLOCK_DRIFT = 0.01;

  /** Raises the duration to the least that a fleet of this size allows. */
  public LeaseTerms {
    duration = Math.max(duration, MIN_DURATION_PER_MEMBER_MS * members);
    witnesses = List.copyOf(witnesses);
  }

  /** Ms between a member's requests to one witness. */
  double renewalInterval() {
    return duration / RENEWALS_PER_LEASE;
  }

  /** Ms after its request during which a holder may act under a lease. */
  public double usableTime() {
    return duration / (1 + MAX_CLOCK_DRIFT) - effectTime;
  }

  /** Ms by any clock after which a lease granted on another clock has surely expired. */
  double expiryWait() {
    return expiryWait(duration);
  }

  /** Ms by any clock that cover {@code ms} of another clock. */
  double expiryWait(double ms) {
    return ms * (1 + MAX_CLOCK_DRIFT);
  }

  /** The least number of witnesses that is more than half of them. */
  int majority() {
    return witnesses.size() / 2 + 1;
  }
}
