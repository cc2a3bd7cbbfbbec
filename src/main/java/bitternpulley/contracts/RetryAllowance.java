package bitternpulley.contracts;

/** Retries that a team may still make; admitted queries earn them. */
final class RetryAllowance {
  /** The number available at the start, and the most that a small team saves up. */
  static final double INITIAL = 10;

  private double available = INITIAL;

  /** Whether there is a whole retry left. */
  boolean isAvailable() {
    return available >= 1;
  }

  double available() {
    return available;
  }

  void earn(double amount, double maximum) {
    available = Math.min(available + amount, maximum);
  }

  void spend() {
    available--;
  }
}
