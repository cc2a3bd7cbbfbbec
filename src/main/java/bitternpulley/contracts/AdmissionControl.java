package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.Arrays;
import java.util.List;

/**
 * Decides by the contracts in force which queries are admitted, and charges their work to the
 * teams' accounts. For each query the caller calls {@link #admit}; for each retry {@link
 * #allowRetry}; for each attempt {@link #onAttemptSent} and {@link #onAttemptEnded}; finally {@link
 * #onRequestEnded}. Times are ms of one monotonic clock; amounts are standard parts (see {@link
 * WorkMeter}).
 */
public final class AdmissionControl {
  /**
   * Share of the class's latency objective within which an attempt counts as in time; the rest is
   * left for queueing and retries.
   */
  private static final double ATTEMPT_OBJECTIVE_SHARE = 0.3;

  /** Factor applied to the priority weight of a query that is admitted by a reservation. */
  private static final double RESERVATION_PRIORITY_FACTOR = 10;

  /** Used if there are no query classes. */
  private static final double DEFAULT_LATENCY_OBJECTIVE_MS = 1000;

  private final CapacityPool pool = new CapacityPool();
  private final Accounts accounts = new Accounts();
  private final Borrowers borrowers = new Borrowers(pool);
  private final double[] latencyObjectives;
  private final WorkMeter workMeter;
  private final CapacityEstimate capacityEstimate;
  private final RetryAfterPlanner retryAfterPlanner;
  private ContractSet contracts = ContractSet.NONE;

  /**
   * Admits every query until contracts are applied.
   *
   * @param latencyObjectives the latency objective of each query class in the settings, ms
   * @param maxRetryAfter the longest Retry-After that clients accept, ms; 0 if they accept none
   */
  public AdmissionControl(double[] latencyObjectives, double maxRetryAfter) {
    this.latencyObjectives = latencyObjectives.clone();
    this.workMeter = new WorkMeter(latencyObjectives.length);
    this.capacityEstimate =
        new CapacityEstimate(
            Arrays.stream(latencyObjectives).min().orElse(DEFAULT_LATENCY_OBJECTIVE_MS));
    this.retryAfterPlanner = new RetryAfterPlanner(maxRetryAfter);
  }

  // --- Contracts and time ------------------------------------------------------------------------

  /** Whether contracts are in force; otherwise every query is admitted and nothing is charged. */
  public boolean isActive() {
    return !contracts.isEmpty();
  }

  /**
   * Replaces the contracts in force. Pending queries keep the terms of the version that admitted
   * them, their charges are settled on the account that was charged, and reservations are kept.
   */
  public void apply(ContractSet replacement, double now) {
    advance(now);
    contracts = replacement;
    double unlendableShare = 0;
    for (Contract contract : replacement.contracts()) {
      unlendableShare += contract.lends() ? 0 : contract.guaranteedQuota();
      accounts.find(contract.id()).ifPresent(account -> borrowers.applyContract(account, contract));
    }
    pool.setLendableShare(Math.max(0, 1 - unlendableShare));
    accounts.closeRetired(contracts, now);
  }

  /** Advances the capacity estimate, the quotas and the borrowers to a time. */
  public void advance(double now) {
    pool.advance(now);
    if (capacityEstimate.advance(now)) {
      pool.setRatePerSecond(capacityEstimate.rate());
    }
    borrowers.expire(now);
  }

  // --- Admission ---------------------------------------------------------------------------------

  /** Admits a query or rejects it. */
  public AdmissionDecision admit(AdmissionRequest request, double now) {
    advance(now);
    Contract contract = contracts.findOrNull(request.team());
    if (contract == null) {
      return new AdmissionDecision.Rejected(
          request.team(), contracts.version(), Limit.NO_CONTRACT, 0);
    }
    Account account = accounts.open(contract);
    Router.ClassTerms terms = contract.classes().get(request.queryClass());
    if (terms == null) {
      return reject(account, Limit.CLASS, 0);
    }
    double cost = workMeter.estimate(request);
    account.fillBuckets(pool, now);
    return admit(account, request, terms, cost, now);
  }

  private AdmissionDecision admit(
      Account account, AdmissionRequest request, Router.ClassTerms terms, double cost, double now) {
    RetryReservations reservations = account.reservations();
    double remainingMs = reservations.remainingMs(request.fingerprint(), now);
    if (account.exceedsMaxPending(request.parts())) {
      return rejectWithRetryAfter(account, Limit.MAX_PENDING, request, cost, now);
    }
    if (remainingMs <= 0) {
      reservations.release(request.fingerprint());
      return charge(account, UsageCharge.Basis.RESERVATION, request, prioritized(terms), cost, now);
    }
    AdmissionDecision decision = admitByQuota(account, request, terms, cost, now);
    if (remainingMs > 0 && decision instanceof UsageCharge) {
      reservations.release(request.fingerprint());
    }
    return decision;
  }

  private AdmissionDecision admitByQuota(
      Account account, AdmissionRequest request, Router.ClassTerms terms, double cost, double now) {
    if (request.isRetry() && !account.hasClientRetryLeft()) {
      return rejectWithRetryAfter(account, Limit.CLIENT_RETRIES, request, cost, now);
    }
    if (!pool.isLimited()) {
      return charge(account, UsageCharge.Basis.UNLIMITED, request, terms, cost, now);
    }
    if (account.isAtCeiling()) {
      return rejectWithRetryAfter(account, Limit.CEILING, request, cost, now);
    }
    if (account.hasUnreservedGuarantee(now)) {
      return charge(account, UsageCharge.Basis.GUARANTEE, request, terms, cost, now);
    }
    if (requestLoan(account, now)) {
      return charge(account, UsageCharge.Basis.LOAN, request, terms, cost, now);
    }
    return rejectWithRetryAfter(account, Limit.QUOTA, request, cost, now);
  }

  /**
   * Raises the priority weight, by which the routing policy starts queued queries, so that a caller
   * that has waited for its reservation goes first.
   */
  private static Router.ClassTerms prioritized(Router.ClassTerms terms) {
    return new Router.ClassTerms(
        terms.latencyObjective(),
        terms.deadline(),
        terms.minimumShare(),
        RESERVATION_PRIORITY_FACTOR * terms.priorityWeight());
  }

  /**
   * Whether the team may borrow capacity for a query. If its contract permits borrowing, the team
   * counts as a borrower from now on when idle capacity is divided, even if this query may not
   * borrow.
   */
  private boolean requestLoan(Account account, double now) {
    if (!account.contract().borrows()) {
      return false;
    }
    borrowers.add(account, now);
    return !capacityEstimate.isCongested()
        && (pool.hasAmpleIdleCapacity() || (pool.hasIdleCapacity() && account.hasLoanLeft()));
  }

  private AdmissionDecision rejectWithRetryAfter(
      Account account, Limit limit, AdmissionRequest request, double cost, double now) {
    return reject(account, limit, retryAfterPlanner.retryAfterMs(account, request, cost, now));
  }

  private AdmissionDecision reject(Account account, Limit limit, double retryAfterMs) {
    account.recordRejection(limit);
    return new AdmissionDecision.Rejected(account.team(), contracts.version(), limit, retryAfterMs);
  }

  private UsageCharge charge(
      Account account,
      UsageCharge.Basis basis,
      AdmissionRequest request,
      Router.ClassTerms terms,
      double cost,
      double now) {
    UsageCharge charge =
        new UsageCharge(account, basis, contracts.version(), request, cost, now, terms);
    account.recordAdmission(charge, request.isRetry());
    capacityEstimate.recordAdmitted(charge);
    return charge;
  }

  // --- Usage -------------------------------------------------------------------------------------

  /**
   * Spends one of the team's retries on a part of an admitted query; returns false if none is left.
   */
  public boolean allowRetry(UsageCharge charge) {
    return charge.account().takeRetry();
  }

  /** Records that an attempt was sent. */
  public void onAttemptSent(UsageCharge charge) {
    charge.recordAttemptSent();
  }

  /**
   * Records that an attempt has ended after {@code durationMs}. An answered attempt is charged by
   * its latency, an unanswered attempt that may have run by its estimated work; an attempt that
   * never ran is not charged.
   */
  public void onAttemptEnded(
      UsageCharge charge, Router.Outcome outcome, double durationMs, double now) {
    advance(now);
    if (outcome == Router.Outcome.OK) {
      recordAnswer(charge, durationMs);
    } else if (outcome.neverRan()) {
      recordNotRun(charge, outcome);
    } else {
      recordUnanswered(charge, outcome);
    }
    settleIfComplete(charge, now);
  }

  private void recordAnswer(UsageCharge charge, double latencyMs) {
    int queryClass = charge.queryClass();
    double cost = workMeter.recordAnswer(queryClass, latencyMs);
    charge.recordAttemptEnded(cost);
    capacityEstimate.recordDelivered(cost);
    capacityEstimate.recordOutcome(
        latencyMs <= ATTEMPT_OBJECTIVE_SHARE * latencyObjectives[queryClass]);
  }

  private void recordNotRun(UsageCharge charge, Router.Outcome outcome) {
    charge.recordAttemptEnded(0);
    if (outcome == Router.Outcome.REJECTED) {
      capacityEstimate.recordOutcome(false);
    }
  }

  private void recordUnanswered(UsageCharge charge, Router.Outcome outcome) {
    charge.recordAttemptEnded(workMeter.estimateAttempt(charge.queryClass()));
    capacityEstimate.recordOutcome(
        outcome == Router.Outcome.CANCELLED || outcome == Router.Outcome.ERROR);
  }

  /** Records that the query has ended; {@code served} is true if the servers answered it. */
  public void onRequestEnded(UsageCharge charge, boolean served, double now) {
    advance(now);
    if (!charge.end()) {
      return;
    }
    double durationMs = now - charge.admittedAt();
    charge.account().recordQueryEnded(charge, durationMs);
    capacityEstimate.recordQueryEnded(
        charge, served && durationMs <= latencyObjectives[charge.queryClass()]);
    settleIfComplete(charge, now);
  }

  private void settleIfComplete(UsageCharge charge, double now) {
    if (!charge.settleIfComplete()) {
      return;
    }
    charge.account().settle(charge, now);
    if (contracts.findOrNull(charge.team()) == null) {
      accounts.closeRetired(contracts, now);
    }
  }

  // --- For operators -----------------------------------------------------------------------------

  /** Estimated capacity in standard parts a second; infinite until capacity was first scarce. */
  public double capacity() {
    return pool.ratePerSecond();
  }

  /** Recent rate of delivered work, in standard parts a second. */
  public double deliveredRate() {
    return capacityEstimate.deliveredRate();
  }

  /** The accounts of all teams that have sent a query. */
  public List<AccountView> accounts(double now) {
    advance(now);
    return accounts.views(contracts.version(), pool, now);
  }
}
