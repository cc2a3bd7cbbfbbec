package bitternpulley.contracts;

/**
 * A share of a stream, saved up to a depth. The stream is told by its running total, so that a
 * bucket that nobody uses costs nothing until it is next looked at. It may go below nothing by one
 * query: a large one waits no longer than its size is worth.
 */
final class TokenBucket {
  private double balance;
  private double seen;

  /** Full at the start: a restart that knows nothing must not starve a team. */
  TokenBucket(double total, double depth) {
    seen = total;
    balance = depth;
  }

  /** Takes in its share of what has come since the last look. */
  void fill(double total, double share, double depth) {
    // The depth falls with the rate: what was saved up of a capacity that is gone is gone as well.
    balance = Math.min(depth, balance + share * (total - seen));
    seen = total;
  }

  double balance() {
    return balance;
  }

  void take(double amount) {
    balance -= amount;
  }

  /**
   * Gives back what was taken and not used, up to the depth; what was used beyond is taken as well.
   */
  void settle(double amount, double depth) {
    balance = amount > 0 ? Math.max(balance, Math.min(depth, balance + amount)) : balance + amount;
  }
}
