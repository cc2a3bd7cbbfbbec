package bitternpulley.leases;

/** A witness's record of the lease it granted to one member. Times are ms of its own clock. */
final class GrantedLease {
  private long epoch;
  private double expiresAt = Double.NEGATIVE_INFINITY;
  private double usableFrom;

  boolean isActive(double now) {
    return now < expiresAt;
  }

  /**
   * Grants or renews the lease for {@code duration} ms; false for a request of an earlier process
   * of the member than the one that holds the lease.
   */
  boolean renew(long requestEpoch, double duration, double now) {
    boolean active = isActive(now);
    if (active && requestEpoch < epoch) {
      return false;
    }
    if (!active) {
      // Grants that omit this member may be in use elsewhere until their duration is over.
      usableFrom = now + duration;
    } else if (requestEpoch > epoch) {
      // The member's earlier process may still act under its lease.
      usableFrom = Math.max(usableFrom, expiresAt);
    }
    epoch = requestEpoch;
    expiresAt = now + duration;
    return true;
  }

  /** Ms until the member may use the lease. */
  double delay(double now) {
    return Math.max(0, usableFrom - now);
  }
}
