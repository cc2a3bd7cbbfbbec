package bitternpulley.leases;

import java.util.List;

/**
 * The lease parameters, which must be the same on all members.
 *
 * @param members number of configured members
 * @param witnesses numbers of the members that grant leases
 * @param duration ms for which a lease is granted; raised if renewals would be too frequent for
 *     this number of members
 * @param effectTime ms for which a decision made under a lease may have an effect; holders stop
 *     using a lease this long before it ends
 */
public record LeaseTerms(int members, List<Integer> witnesses, double duration, double effectTime) {
  /** The largest number of members that a grant can list in one datagram of 256 bytes. */
  public static final int MAX_MEMBERS = 1500;

  /**
   * Minimum duration of a lease per configured member, so that a witness receives at most 40
   * requests a second.
   */
  private static final double MIN_DURATION_PER_MEMBER_MS = 100;

  private static final double RENEWALS_PER_LEASE = 4;

  /** Assumed relative difference in rate between two clocks, far above that of real machines. */
  private static final double MAX_CLOCK_DRIFT = 0.01;

  /** Raises the duration to the minimum for this number of members. */
  public LeaseTerms {
    duration = Math.max(duration, MIN_DURATION_PER_MEMBER_MS * members);
    witnesses = List.copyOf(witnesses);
  }

  /** Milliseconds between a member's requests to one witness. */
  double renewalInterval() {
    return duration / RENEWALS_PER_LEASE;
  }

  /** Milliseconds, counted from its request, for which a holder may act under a lease. */
  public double usableTime() {
    return duration / (1 + MAX_CLOCK_DRIFT) - effectTime;
  }

  /** Milliseconds on any clock after which a lease granted on another clock has expired. */
  double expiryWait() {
    return withDriftMargin(duration);
  }

  /** Milliseconds on any clock in which at least {@code ms} pass on every other clock. */
  double withDriftMargin(double ms) {
    return ms * (1 + MAX_CLOCK_DRIFT);
  }

  /** The smallest number of witnesses that is more than half of them. */
  int majority() {
    return witnesses.size() / 2 + 1;
  }
}
