package bitternpulley.contracts;

/** The number of retries that a team may still make; admitted queries earn retries. */
final class RetryAllowance {
  /** The number of retries at the start, which is also the most that a small team can save up. */
  static final double INITIAL = 10;

  private double available = INITIAL;

  /** Whether at least one whole retry is left. */
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
