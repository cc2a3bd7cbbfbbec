package bitternpulley.contracts;

/** Whether an account wants to borrow; the interest expires some time after its last renewal. */
final class BorrowingInterest {
  private boolean active;
  private double expiresAt = Double.NEGATIVE_INFINITY;

  /** When {@link #expire} must be called next; no later than the expiry. */
  private double checkAt;

  boolean isActive() {
    return active;
  }

  /** Starts the interest or extends it until a later time; returns whether it was inactive. */
  boolean renewUntil(double later) {
    expiresAt = later;
    if (active) {
      return false;
    }
    active = true;
    checkAt = later;
    return true;
  }

  boolean isCheckDue(double now) {
    return now >= checkAt;
  }

  /** Ends the interest, or schedules the next check; returns whether it ended. */
  boolean expire(double now) {
    if (expiresAt > now) {
      checkAt = expiresAt;
      return false;
    }
    active = false;
    return true;
  }
}
