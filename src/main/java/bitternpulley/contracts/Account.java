package bitternpulley.contracts;

/**
 * A team's account: what it may still use, what is pending, and what was admitted and rejected.
 * Opened by the team's first query, so that an unused contract costs little. The account keeps
 * state; {@link AdmissionControl} decides.
 */
final class Account {
  /** How many queries it takes to earn the most retries that a team saves up. */
  private static final double RETRY_BURST_FACTOR = 10;

  /** Ms that a team's query is expected to take before one has ended. */
  private static final double DEFAULT_DURATION_MS = 100;

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

  /** Pending queries and their parts. */
  private int pending;

  private int unsettledCharges;

  /** Smoothed ms from admission to end; 0 before the first end. */
  private double averageDurationMs;

  /** Standard parts charged since the account was opened. */
  private double used;

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

  /** Whether nothing depends on the account any more. */
  boolean isIdle(double now) {
    return unsettledCharges == 0 && !borrowing.isActive() && reservations.reservedAmount(now) == 0;
  }

  /** Whether a query with this number of parts would exceed what may be pending at once. */
  boolean exceedsMaxPending(int parts) {
    return pending + parts + 1 > contract.maxPending();
  }

  boolean hasClientRetryLeft() {
    return clientRetries.isAvailable();
  }

  /** Whether the ceiling is reached; capacity is limited. */
  boolean isAtCeiling() {
    return buckets.isAtCeiling(contract);
  }

  /** Whether the guaranteed quota has something left; capacity is limited. */
  boolean hasUnreservedGuarantee(double now) {
    return buckets.hasUnreservedGuarantee(now);
  }

  /** Whether the team's part of the idle capacity has something left; capacity is limited. */
  boolean hasLoanLeft() {
    return buckets.loanBalance() > 0;
  }

  /**
   * Ms until the account is likely to admit a query of a cost: by the guaranteed quota if capacity
   * is limited, else by how long the team's queries take.
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

  /** Books an admitted query. */
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
    addUsage(charge.basis(), charge.booked());
    if (buckets != null) {
      buckets.take(contract, charge.basis(), charge.booked());
    }
  }

  private double maxRetries() {
    return RetryAllowance.INITIAL * Math.max(1, contract.retriesPerPart() * RETRY_BURST_FACTOR);
  }

  private void addUsage(UsageCharge.Basis basis, double amount) {
    used += amount;
    borrowed += basis == UsageCharge.Basis.LOAN ? amount : 0;
  }

  /** Takes one of the retries that admitted queries have earned, if there is one. */
  boolean takeRetry() {
    if (!retries.isAvailable()) {
      return false;
    }
    retries.spend();
    return true;
  }

  /** The query of a charge has ended, this many ms after its admission. */
  void recordQueryEnded(UsageCharge charge, double durationMs) {
    pending -= charge.parts() + 1;
    averageDurationMs =
        averageDurationMs == 0
            ? durationMs
            : averageDurationMs + DURATION_SMOOTHING * (durationMs - averageDurationMs);
  }

  /** Replaces what a charge has booked by what was measured. */
  void settle(UsageCharge charge, double now) {
    unsettledCharges--;
    double unused = charge.booked() - charge.used();
    addUsage(charge.basis(), -unused);
    if (charge.basis() != UsageCharge.Basis.UNLIMITED && buckets != null) {
      buckets.refund(contract, charge.basis(), unused, now);
    }
  }

  /** The account's state, for operators. */
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
