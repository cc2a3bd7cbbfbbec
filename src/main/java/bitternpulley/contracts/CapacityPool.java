package bitternpulley.contracts;

/**
 * What this aggregator can do, as a stream: its rate by the {@link CapacityEstimate}, its running
 * total, and the running total of what may be lent, per unit of weight of those who want to borrow.
 * Time only moves it on; everything else asks.
 */
final class CapacityPool {
  /**
   * Ms of the rate that the pool of idle share may hold: what is lent cannot be called back, so
   * little is saved up.
   */
  private static final double POOL = 250;

  /** Times the pool that may be owed to it. */
  private static final double DEBT = 4;

  private double rate = Double.POSITIVE_INFINITY;
  private double lendable = 1;
  private double total;
  private double loanable;
  private double pool;
  private double weights;

  /**
   * What has come in and was neither used by its owners nor shared out yet; below 0 where owners
   * used what was saved.
   */
  private double unshared;

  private double at = Double.NaN;

  /** Standard parts a second; infinite while no sign of scarcity was seen. */
  double rate() {
    return rate;
  }

  double total() {
    return total;
  }

  double loanable() {
    return loanable;
  }

  boolean limited() {
    return rate != Double.POSITIVE_INFINITY;
  }

  void rate(double fresh) {
    rate = fresh;
    pool = Math.max(-depth(), Math.min(pool, depth()));
  }

  /** The share that is not reserved to those who do not lend. */
  void lendable(double share) {
    lendable = share;
  }

  /** The weights of those who want to borrow have changed by so much. */
  void wanting(double change) {
    weights = Math.max(0, weights + change);
  }

  void advance(double now) {
    double passed = Double.isNaN(at) ? 0 : Math.max(0, now - at) / 1000;
    at = now;
    if (!limited()) {
      return;
    }
    total += rate * passed;
    double came = lendable * rate * passed;
    pool = Math.min(depth(), pool + came);
    unshared = Math.min(depth(), unshared + came);
    if (weights > 0 && unshared > 0) {
      loanable += unshared / weights;
      unshared = 0;
    }
  }

  /**
   * Whether something is idle, and whether so much of it that nobody need be kept to a part of it.
   */
  boolean idle() {
    return pool > 0;
  }

  boolean plenty() {
    return pool > depth() / 2;
  }

  /** Owners use so much of their own; below 0, they turn out not to. */
  void useOwn(double amount) {
    unshared = bounded(unshared - amount);
    useLoan(amount);
  }

  /** So much is lent. */
  void useLoan(double amount) {
    pool = bounded(pool - amount);
  }

  /** Guards against a debt that keeps all from borrowing for longer than a second. */
  private double bounded(double amount) {
    return Math.max(-DEBT * depth(), Math.min(depth(), amount));
  }

  private double depth() {
    return limited() ? rate * POOL / 1000 : 0;
  }
}
