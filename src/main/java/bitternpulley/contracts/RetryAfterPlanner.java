package bitternpulley.contracts;

/** Chooses the Retry-After of a rejected query and reserves capacity for its return. */
final class RetryAfterPlanner {
  private static final double MIN_RETRY_AFTER_MS = 10;

  private final double maxRetryAfterMs;

  /** {@code maxRetryAfterMs} is the longest time that clients accept; 0 if they accept none. */
  RetryAfterPlanner(double maxRetryAfterMs) {
    this.maxRetryAfterMs = maxRetryAfterMs;
  }

  /**
   * Milliseconds after which a rejected caller should return: the time until its reservation is
   * due, so that nothing is gained by asking twice; without a reservation, the time until a new one
   * is due; 0 if no reservation can be made within the time that clients accept.
   */
  double retryAfterMs(Account account, AdmissionRequest request, double cost, double now) {
    double remainingMs = account.reservations().remainingMs(request.fingerprint(), now);
    return remainingMs > 0 ? remainingMs : reserve(account, request.fingerprint(), cost, now);
  }

  private double reserve(Account account, long fingerprint, double cost, double now) {
    double retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, account.expectedWaitMs(cost, now));
    // A due reservation is used up even if its caller is rejected again.
    account.reservations().release(fingerprint);
    boolean isReserved =
        retryAfterMs <= maxRetryAfterMs
            && account.reservations().reserve(fingerprint, now + retryAfterMs, cost);
    return isReserved ? retryAfterMs : 0;
  }
}
