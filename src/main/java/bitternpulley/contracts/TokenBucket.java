package bitternpulley.contracts;

/**
 * A share of a flow of capacity, saved up to a depth. The flow is given by its cumulative total, so
 * that a bucket costs nothing until it is next used. The balance may fall below zero by one query,
 * so that a large query does not wait for a full bucket.
 */
final class TokenBucket {
  private double balance;
  private double lastTotal;

  /** A full bucket, as a restart must not starve a team. */
  TokenBucket(double total, double depth) {
    this.lastTotal = total;
    this.balance = depth;
  }

  /** Adds the bucket's share of the flow since the last call. */
  void fill(double total, double share, double depth) {
    // The depth falls with the rate: savings of capacity that is gone are gone as well.
    balance = Math.min(depth, balance + share * (total - lastTotal));
    lastTotal = total;
  }

  double balance() {
    return balance;
  }

  void take(double amount) {
    balance -= amount;
  }

  /**
   * Corrects an earlier {@link #take}: returns what was not used, up to the depth, or takes the
   * excess if {@code amount} is negative.
   */
  void refund(double amount, double depth) {
    balance = amount > 0 ? Math.max(balance, Math.min(depth, balance + amount)) : balance + amount;
  }
}
