package bitternpulley.leases;

/** A witness's record of one member's lease; times are ms of the witness's clock. */
final class GrantedLease {
  private long epoch;
  private double expiresAt = Double.NEGATIVE_INFINITY;
  private double usableFrom;

  boolean isActive(double now) {
    return now < expiresAt;
  }

  /**
   * Grants or renews the lease for {@code duration} ms. Returns false, and changes nothing, if the
   * request comes from an earlier process of the member than the one that holds the lease.
   */
  boolean renew(long requestEpoch, double duration, double now) {
    boolean active = isActive(now);
    if (active && requestEpoch < epoch) {
      return false;
    }
    if (!active) {
      // Other members may act under grants that omit this member until these grants expire.
      usableFrom = now + duration;
    } else if (requestEpoch > epoch) {
      // An earlier process of the member may still act under the lease it obtained.
      usableFrom = Math.max(usableFrom, expiresAt);
    }
    epoch = requestEpoch;
    expiresAt = now + duration;
    return true;
  }

  /** Milliseconds until the member may use the lease. */
  double remainingDelay(double now) {
    return Math.max(0, usableFrom - now);
  }
}
