package bitternpulley.contracts;

/**
 * A token bucket that is filled by a share of a flow of capacity. The flow is given by its
 * cumulative total, so that a bucket costs nothing until its next use. The balance may fall below
 * zero by one query, so that a large query does not have to wait for a full bucket.
 */
final class TokenBucket {
  private double balance;
  private double lastTotal;

  /** Creates a full bucket, as a restart must not starve a team. */
  TokenBucket(double total, double depth) {
    this.lastTotal = total;
    this.balance = depth;
  }

  /** Adds the bucket's share of the flow since the last call. */
  void fill(double total, double share, double depth) {
    // The depth falls with the rate of the flow; a balance above the lower depth is lost.
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
   * Corrects an earlier {@link #take}: returns the unused amount, up to the depth, or takes the
   * excess if {@code amount} is negative.
   */
  void refund(double amount, double depth) {
    balance = amount > 0 ? Math.max(balance, Math.min(depth, balance + amount)) : balance + amount;
  }
}
