package bitternpulley.contracts;

/**
 * The aggregator's capacity as a flow of standard parts: its rate, as {@link CapacityEstimate}
 * finds it, its cumulative total, and the cumulative total of what may be borrowed for each unit of
 * the borrowers' weight. Unlimited until a rate is set.
 */
final class CapacityPool {
  /**
   * Ms of the rate that may be saved up as idle capacity. Borrowed capacity cannot be called back,
   * so little is saved.
   */
  private static final double MAX_IDLE_MS = 250;

  /** Lowest balances, as a multiple of the depth, so that borrowing resumes within a second. */
  private static final double MAX_DEBT_DEPTHS = 4;

  private double ratePerSecond = Double.POSITIVE_INFINITY;
  private double lendableShare = 1;
  private double total;
  private double loanTotalPerWeight;
  private double idleBalance;
  private double borrowersWeight;

  /**
   * Flow that was neither used by its owners nor distributed to borrowers; negative after owners
   * used savings.
   */
  private double undistributed;

  private double lastAdvance = Double.NaN;

  /** Standard parts a second; infinite while capacity was never scarce. */
  double ratePerSecond() {
    return ratePerSecond;
  }

  /** Cumulative capacity since it is limited. */
  double total() {
    return total;
  }

  /** Cumulative capacity to borrow, for each unit of weight. */
  double loanTotalPerWeight() {
    return loanTotalPerWeight;
  }

  boolean isLimited() {
    return ratePerSecond != Double.POSITIVE_INFINITY;
  }

  void setRatePerSecond(double rate) {
    ratePerSecond = rate;
    idleBalance = Math.max(-depth(), Math.min(idleBalance, depth()));
  }

  /** Sets the share that is not reserved for teams that do not lend. */
  void setLendableShare(double share) {
    lendableShare = share;
  }

  /** A team of this weight now wants to borrow. */
  void addBorrower(double weight) {
    borrowersWeight += weight;
  }

  /** A team of this weight no longer wants to borrow. */
  void removeBorrower(double weight) {
    borrowersWeight = Math.max(0, borrowersWeight - weight);
  }

  /** Adds the flow since the last call. */
  void advance(double now) {
    double seconds = Double.isNaN(lastAdvance) ? 0 : Math.max(0, now - lastAdvance) / 1000;
    lastAdvance = now;
    if (!isLimited()) {
      return;
    }
    total += ratePerSecond * seconds;
    double lendable = lendableShare * ratePerSecond * seconds;
    idleBalance = Math.min(depth(), idleBalance + lendable);
    undistributed = Math.min(depth(), undistributed + lendable);
    if (borrowersWeight > 0 && undistributed > 0) {
      loanTotalPerWeight += undistributed / borrowersWeight;
      undistributed = 0;
    }
  }

  /** Whether some capacity is idle. */
  boolean hasIdleCapacity() {
    return idleBalance > 0;
  }

  /** Whether so much is idle that borrowers need not be held to their shares of it. */
  boolean hasAmpleIdleCapacity() {
    return idleBalance > depth() / 2;
  }

  /** A lending team uses its own quota; a negative amount corrects an earlier one. */
  void useGuaranteed(double amount) {
    undistributed = clamp(undistributed - amount);
    useLoan(amount);
  }

  /** A team borrows; a negative amount corrects an earlier one. */
  void useLoan(double amount) {
    idleBalance = clamp(idleBalance - amount);
  }

  private double clamp(double amount) {
    return Math.max(-MAX_DEBT_DEPTHS * depth(), Math.min(depth(), amount));
  }

  private double depth() {
    return isLimited() ? ratePerSecond * MAX_IDLE_MS / 1000 : 0;
  }
}
