package bitternpulley.contracts;

/**
 * What a team may use of limited capacity: token buckets for its guaranteed quota, its ceiling and
 * its loans. All are filled from the {@link CapacityPool}, and use is recorded there as well.
 */
final class QuotaBuckets {
  /** Depth of the bucket for loans, as a share of that of the whole capacity. */
  private static final double LOAN_DEPTH_SHARE = 0.25;

  private final CapacityPool pool;
  private final RetryReservations reservations;
  private final TokenBucket guarantee;
  private final TokenBucket ceiling;
  private final TokenBucket loan;

  /** Full buckets, except the one for loans. */
  QuotaBuckets(CapacityPool pool, RetryReservations reservations, Contract contract) {
    this.pool = pool;
    this.reservations = reservations;
    this.guarantee = new TokenBucket(pool.total(), depth(contract, contract.guaranteedQuota()));
    this.ceiling = new TokenBucket(pool.total(), depth(contract, contract.ceiling()));
    this.loan = new TokenBucket(pool.loanTotalPerWeight(), 0);
  }

  /** Adds the flow since the last call. */
  void fill(Contract contract, double now) {
    guarantee.fill(pool.total(), contract.guaranteedQuota(), guaranteeDepth(contract, now));
    ceiling.fill(pool.total(), contract.ceiling(), depth(contract, contract.ceiling()));
    loan.fill(pool.loanTotalPerWeight(), contract.borrowingWeight(), loanDepth(contract));
  }

  /** Standard parts left of the guaranteed quota, reservations included. */
  double guaranteeBalance() {
    return guarantee.balance();
  }

  /** Standard parts that the team may still borrow. */
  double loanBalance() {
    return loan.balance();
  }

  /** Whether the guaranteed quota has something left that is not reserved. */
  boolean hasUnreservedGuarantee(double now) {
    return guarantee.balance() - reservations.reservedAmount(now) > 0;
  }

  boolean isAtCeiling(Contract contract) {
    return contract.ceiling() < 1 && ceiling.balance() <= 0;
  }

  /**
   * Ms until the guaranteed quota has an amount on top of all that is reserved; infinite for a team
   * without a guarantee.
   */
  double msUntilGuaranteed(Contract contract, double amount, double now) {
    double perMs = contract.guaranteedQuota() * pool.ratePerSecond() / 1000;
    double missing =
        reservations.reservedAmount(now) + amount - Math.min(guarantee.balance(), amount);
    return perMs <= 0 ? Double.POSITIVE_INFINITY : missing / perMs;
  }

  /** Takes the amount that an admitted query has booked. */
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

  /** Returns what an ended query booked and did not use, or takes the excess if negative. */
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

  /** Reserved capacity is saved on top of the burst, as it already belongs to its callers. */
  private double guaranteeDepth(Contract contract, double now) {
    return depth(contract, contract.guaranteedQuota()) + reservations.reservedAmount(now);
  }

  private double loanDepth(Contract contract) {
    return depth(contract, 1) * LOAN_DEPTH_SHARE;
  }

  /** Standard parts that a share of the capacity may save up. */
  private double depth(Contract contract, double share) {
    return share * pool.ratePerSecond() * contract.burst() / 1000;
  }
}
