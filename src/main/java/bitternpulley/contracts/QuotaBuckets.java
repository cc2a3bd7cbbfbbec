package bitternpulley.contracts;

/**
 * The token buckets that limit a team's use of limited capacity: for its guaranteed quota, its
 * ceiling and its loans. All are filled from the {@link CapacityPool}, where the use of capacity is
 * recorded as well.
 */
final class QuotaBuckets {
  /** Depth of the loan bucket, as a share of the depth of a bucket for the whole capacity. */
  private static final double LOAN_DEPTH_SHARE = 0.25;

  private final CapacityPool pool;
  private final RetryReservations reservations;
  private final TokenBucket guarantee;
  private final TokenBucket ceiling;
  private final TokenBucket loan;

  /** Creates full buckets, except for an empty loan bucket. */
  QuotaBuckets(CapacityPool pool, RetryReservations reservations, Contract contract) {
    this.pool = pool;
    this.reservations = reservations;
    this.guarantee = new TokenBucket(pool.total(), depth(contract, contract.guaranteedQuota()));
    this.ceiling = new TokenBucket(pool.total(), depth(contract, contract.ceiling()));
    this.loan = new TokenBucket(pool.loanTotalPerWeight(), 0);
  }

  /** Adds the capacity that has accrued since the last call. */
  void fill(Contract contract, double now) {
    guarantee.fill(pool.total(), contract.guaranteedQuota(), guaranteeDepth(contract, now));
    ceiling.fill(pool.total(), contract.ceiling(), depth(contract, contract.ceiling()));
    loan.fill(pool.loanTotalPerWeight(), contract.borrowingWeight(), loanDepth(contract));
  }

  /** Standard parts left of the guaranteed quota, including reserved ones. */
  double guaranteeBalance() {
    return guarantee.balance();
  }

  /** Standard parts that the team may still borrow. */
  double loanBalance() {
    return loan.balance();
  }

  /** Whether some guaranteed quota is left that is not reserved. */
  boolean hasUnreservedGuarantee(double now) {
    return guarantee.balance() - reservations.reservedAmount(now) > 0;
  }

  boolean isAtCeiling(Contract contract) {
    return contract.ceiling() < 1 && ceiling.balance() <= 0;
  }

  /**
   * Milliseconds until the guaranteed quota suffices for all reservations and this amount; infinite
   * for a team without a guaranteed quota.
   */
  double msUntilGuaranteed(Contract contract, double amount, double now) {
    double perMs = contract.guaranteedQuota() * pool.ratePerSecond() / 1000;
    double missing =
        reservations.reservedAmount(now) + amount - Math.min(guarantee.balance(), amount);
    return perMs <= 0 ? Double.POSITIVE_INFINITY : missing / perMs;
  }

  /** Takes the estimated amount of an admitted query. */
  void take(Contract contract, UsageCharge.Basis basis, double amount) {
    ceiling.take(amount);
    if (basis == UsageCharge.Basis.LOAN) {
      loan.take(amount);
      pool.useLoan(amount);
      return;
    }
    guarantee.take(amount);
    if (contract.lends()) {
      pool.useGuaranteed(amount);
    }
  }

  /**
   * Returns the amount that an ended query was charged and did not use, or takes the excess if
   * {@code amount} is negative.
   */
  void refund(Contract contract, UsageCharge.Basis basis, double amount, double now) {
    ceiling.refund(amount, depth(contract, contract.ceiling()));
    if (basis == UsageCharge.Basis.LOAN) {
      loan.refund(amount, loanDepth(contract));
      pool.useLoan(-amount);
      return;
    }
    guarantee.refund(amount, guaranteeDepth(contract, now));
    if (contract.lends()) {
      pool.useGuaranteed(-amount);
    }
  }

  /** Reserved capacity accumulates in addition to the burst, as it is meant for its callers. */
  private double guaranteeDepth(Contract contract, double now) {
    return depth(contract, contract.guaranteedQuota()) + reservations.reservedAmount(now);
  }

  private double loanDepth(Contract contract) {
    return depth(contract, 1) * LOAN_DEPTH_SHARE;
  }

  /** Depth of a bucket that is filled by a share of the capacity, in standard parts. */
  private double depth(Contract contract, double share) {
    return share * pool.ratePerSecond() * contract.burst() / 1000;
  }
}
