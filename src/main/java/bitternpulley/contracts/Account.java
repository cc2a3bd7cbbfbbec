package bitternpulley.contracts;

/**
 * A team's running account: what it may still use, what is out, what it was promised and refused.
 * Made when the team first asks, so that a silent contract costs its text only. Arithmetic and
 * state; {@link AdmissionControl} decides.
 */
final class Account {
  final String team;
  Contract contract;

  /** Null while nothing is scarce, as then nothing is rationed. */
  TokenBucket own;

  TokenBucket top;
  TokenBucket loan;
  final RetryReservations promises = new RetryReservations();

  /** Attempts of ours beyond the first, and retries of clients, that the budgets still hold. */
  double furtherAttempts;

  double clientRetries;

  /** Queries and parts open now, and charges that are not settled. */
  int held;

  int unsettled;

  /** Until when it counts as one that wants to borrow. */
  double borrowsUntil = Double.NEGATIVE_INFINITY;

  boolean queued;

  /** When it is looked at next, whether it still wants to. */
  double lookAt;

  /** Ms that its admitted queries take to their end, smoothed; 0 while none has ended. */
  double lasts;

  /** Standard parts since the account was opened. */
  double used;

  double borrowed;
  long admitted;
  final long[] refused = new long[Limit.values().length];

  Account(Contract contract) {
    this.team = contract.id();
    this.contract = contract;
    this.furtherAttempts = AdmissionControl.BUDGET_BURST;
    this.clientRetries = AdmissionControl.BUDGET_BURST;
  }

  /** Standard parts that a share may save up. */
  double depth(CapacityPool supply, double share) {
    return share * supply.rate() * contract.burst() / 1000;
  }

  /**
   * What counts when idle share is divided among those who want it; a team without a guarantee has
   * a little weight.
   */
  double weight() {
    return Math.max(contract.guaranteedQuota(), AdmissionControl.LEAST_WEIGHT);
  }

  /** Brings the buckets up to date; {@code supply} is limited. */
  void fill(CapacityPool supply, double now) {
    if (own == null) {
      own = new TokenBucket(supply.total(), depth(supply, contract.guaranteedQuota()));
      top = new TokenBucket(supply.total(), depth(supply, contract.ceiling()));
      loan = new TokenBucket(supply.loanable(), 0);
    }
    // What is kept for those told to come back lies on top of the burst: it is theirs already.
    own.fill(
        supply.total(),
        contract.guaranteedQuota(),
        depth(supply, contract.guaranteedQuota()) + promises.kept(now));
    top.fill(supply.total(), contract.ceiling(), depth(supply, contract.ceiling()));
    loan.fill(supply.loanable(), weight(), depth(supply, 1) * AdmissionControl.LOAN_DEPTH);
  }

  /** How this account stands, for operators. */
  AccountView view(int version, CapacityPool supply, double now) {
    if (supply.limited()) {
      fill(supply, now);
    }
    return new AccountView(
        team,
        version,
        contract,
        own == null ? 0 : own.balance(),
        loan == null ? 0 : loan.balance(),
        held,
        promises.open(),
        used,
        borrowed,
        admitted,
        refused.clone(),
        furtherAttempts,
        clientRetries);
  }
}
