package bitternpulley.contracts;

/**
 * The aggregator's capacity as a flow of standard parts: its rate, as estimated by {@link
 * CapacityEstimate}, its cumulative total, and the cumulative total that may be borrowed per unit
 * of borrowing weight. Capacity is unlimited until a rate is set.
 */
final class CapacityPool {
  /**
   * Longest time over which idle capacity accumulates. It is short because borrowed capacity cannot
   * be withdrawn.
   */
  private static final double MAX_IDLE_MS = 250;

  /**
   * Lower bound of the balances, as a negative multiple of the depth, so that borrowing resumes
   * within a second.
   */
  private static final double MAX_DEBT_DEPTHS = 4;

  private double ratePerSecond = Double.POSITIVE_INFINITY;
  private double lendableShare = 1;
  private double total;
  private double loanTotalPerWeight;

  /** Lendable capacity that is not in use; negative if more was used than had accrued. */
  private double idleBalance;

  private double borrowersWeight;

  /**
   * Lendable capacity that was neither used by its owners nor distributed to borrowers; negative
   * after owners used quota that they had saved up.
   */
  private double undistributed;

  private double lastAdvance = Double.NaN;

  /** Standard parts a second; infinite until capacity was first scarce. */
  double ratePerSecond() {
    return ratePerSecond;
  }

  /** Cumulative capacity since capacity was first limited. */
  double total() {
    return total;
  }

  /** Cumulative capacity that may be borrowed per unit of borrowing weight. */
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

  /** Sets the share of the capacity that is not guaranteed to teams that do not lend. */
  void setLendableShare(double share) {
    lendableShare = share;
  }

  /** Adds the weight of a team that wants to borrow. */
  void addBorrower(double weight) {
    borrowersWeight += weight;
  }

  /** Removes the weight of a team that no longer wants to borrow. */
  void removeBorrower(double weight) {
    borrowersWeight = Math.max(0, borrowersWeight - weight);
  }

  /** Adds the capacity that has accrued since the last call. */
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

  /** Whether so much capacity is idle that borrowers may exceed their shares of it. */
  boolean hasAmpleIdleCapacity() {
    return idleBalance > depth() / 2;
  }

  /** Records that a lending team uses its own quota; a negative amount corrects an earlier one. */
  void useGuaranteed(double amount) {
    undistributed = clamp(undistributed - amount);
    useLoan(amount);
  }

  /** Records that a team borrows; a negative amount corrects an earlier one. */
  void useLoan(double amount) {
    idleBalance = clamp(idleBalance - amount);
  }

  private double clamp(double amount) {
    return Math.max(-MAX_DEBT_DEPTHS * depth(), Math.min(depth(), amount));
  }

  /** The most capacity that may accumulate. */
  private double depth() {
    return isLimited() ? ratePerSecond * MAX_IDLE_MS / 1000 : 0;
  }
}
