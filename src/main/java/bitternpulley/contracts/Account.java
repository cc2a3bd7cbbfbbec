package bitternpulley.contracts;

/**
 * A team's account: what the team may still use, what is pending, and what was admitted and
 * rejected. The team's first query opens the account, so that an unused contract costs little. The
 * account only keeps state; {@link AdmissionControl} makes the decisions.
 */
final class Account {
  /**
   * The upper bound of the retries that a team can save up is {@link RetryAllowance#INITIAL} times
   * the retries that this many parts earn, but not less than {@link RetryAllowance#INITIAL}.
   */
  private static final double RETRY_BURST_PARTS = 10;

  /** Expected duration of a query until the team's first query has ended. */
  private static final double DEFAULT_DURATION_MS = 100;

  /** Weight of a new sample in the average duration. */
  private static final double DURATION_SMOOTHING = 0.1;

  private final String team;
  private final RetryReservations reservations = new RetryReservations();
  private final RetryAllowance retries = new RetryAllowance();
  private final RetryAllowance clientRetries = new RetryAllowance();
  private final BorrowingInterest borrowing = new BorrowingInterest();
  private final RejectionCounts rejections = new RejectionCounts();
  private Contract contract;

  /** Null while capacity is unlimited. */
  private QuotaBuckets buckets;

  /** The number of pending queries plus the number of their parts. */
  private int pending;

  private int unsettledCharges;

  /** Smoothed time from admission to the end of a query; 0 until the first query has ended. */
  private double averageDurationMs;

  /** Standard parts charged since the account was opened. */
  private double used;

  /** Standard parts of {@link #used} that were borrowed. */
  private double borrowed;

  private long admitted;

  Account(Contract contract) {
    this.team = contract.id();
    this.contract = contract;
  }

  String team() {
    return team;
  }

  Contract contract() {
    return contract;
  }

  void applyContract(Contract replacement) {
    contract = replacement;
  }

  RetryReservations reservations() {
    return reservations;
  }

  BorrowingInterest borrowing() {
    return borrowing;
  }

  /** Brings the buckets up to date while capacity is limited. */
  void fillBuckets(CapacityPool pool, double now) {
    if (!pool.isLimited()) {
      return;
    }
    if (buckets == null) {
      buckets = new QuotaBuckets(pool, reservations, contract);
    }
    buckets.fill(contract, now);
  }

  /** Whether the account has no unsettled charges or reservations and does not want to borrow. */
  boolean isIdle(double now) {
    return unsettledCharges == 0 && !borrowing.isActive() && reservations.reservedAmount(now) == 0;
  }

  /** Whether a query with this number of parts would exceed the contract's pending limit. */
  boolean exceedsMaxPending(int parts) {
    return pending + parts + 1 > contract.maxPending();
  }

  boolean hasClientRetryLeft() {
    return clientRetries.isAvailable();
  }

  /** Whether the ceiling is reached. Call only while capacity is limited. */
  boolean isAtCeiling() {
    return buckets.isAtCeiling(contract);
  }

  /** Whether some unreserved guaranteed quota is left. Call only while capacity is limited. */
  boolean hasUnreservedGuarantee(double now) {
    return buckets.hasUnreservedGuarantee(now);
  }

  /** Whether the team may borrow more of the idle capacity. Call only while capacity is limited. */
  boolean hasLoanLeft() {
    return buckets.loanBalance() > 0;
  }

  /**
   * Milliseconds until a query of this cost is likely to be admitted: computed from the guaranteed
   * quota once capacity has been limited, from the average duration of the team's queries before.
   */
  double expectedWaitMs(double cost, double now) {
    if (buckets != null) {
      return buckets.msUntilGuaranteed(contract, cost, now);
    }
    return averageDurationMs == 0 ? DEFAULT_DURATION_MS : averageDurationMs;
  }

  void recordRejection(Limit limit) {
    rejections.increment(limit);
  }

  /** Records an admitted query and charges it by its estimated work. */
  void recordAdmission(UsageCharge charge, boolean isClientRetry) {
    admitted++;
    unsettledCharges++;
    pending += charge.parts() + 1;
    retries.earn(contract.retriesPerPart() * charge.parts(), maxRetries());
    if (isClientRetry) {
      clientRetries.spend();
    } else {
      clientRetries.earn(contract.clientRetries(), RetryAllowance.INITIAL);
    }
    addUsage(charge.basis(), charge.estimatedWork());
    if (buckets != null) {
      buckets.take(contract, charge.basis(), charge.estimatedWork());
    }
  }

  private double maxRetries() {
    return RetryAllowance.INITIAL * Math.max(1, contract.retriesPerPart() * RETRY_BURST_PARTS);
  }

  private void addUsage(UsageCharge.Basis basis, double amount) {
    used += amount;
    borrowed += basis == UsageCharge.Basis.LOAN ? amount : 0;
  }

  /** Spends one of the retries that admitted queries have earned; returns false if none is left. */
  boolean takeRetry() {
    if (!retries.isAvailable()) {
      return false;
    }
    retries.spend();
    return true;
  }

  /** Records that the query of a charge has ended {@code durationMs} after its admission. */
  void recordQueryEnded(UsageCharge charge, double durationMs) {
    pending -= charge.parts() + 1;
    averageDurationMs =
        averageDurationMs == 0
            ? durationMs
            : averageDurationMs + DURATION_SMOOTHING * (durationMs - averageDurationMs);
  }

  /** Replaces the estimated amount of a charge by the measured one. */
  void settle(UsageCharge charge, double now) {
    unsettledCharges--;
    double unused = charge.estimatedWork() - charge.measuredWork();
    addUsage(charge.basis(), -unused);
    if (charge.basis() != UsageCharge.Basis.UNLIMITED && buckets != null) {
      buckets.refund(contract, charge.basis(), unused, now);
    }
  }

  /** The state of the account, for operators. */
  AccountView view(int version, CapacityPool pool, double now) {
    fillBuckets(pool, now);
    return new AccountView(
        team,
        version,
        contract,
        buckets == null ? 0 : buckets.guaranteeBalance(),
        buckets == null ? 0 : buckets.loanBalance(),
        pending,
        reservations.size(),
        used,
        borrowed,
        admitted,
        rejections.copy(),
        retries.available(),
        clientRetries.available());
  }
}
