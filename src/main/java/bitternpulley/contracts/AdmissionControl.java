package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.Arrays;
import java.util.List;

/**
 * Decides which queries are admitted, by the contracts in force, and charges their work to the
 * teams' accounts. A query passes through {@link #admit}, for each attempt {@link #allowRetry},
 * {@link #onAttemptSent} and {@link #onAttemptEnded}, then {@link #onRequestEnded}. Times are ms of
 * one monotonic clock; amounts are standard parts (see {@link WorkMeter}).
 */
public final class AdmissionControl {
  /**
   * Share of its class's latency objective within which an attempt is in time; the rest is left for
   * queueing and retries.
   */
  private static final double ATTEMPT_OBJECTIVE_SHARE = 0.3;

  /** Factor of the priority weight of a query that returns to its reservation. */
  private static final double RESERVATION_PRIORITY_FACTOR = 10;

  /** Ms; used where there are no classes. */
  private static final double DEFAULT_LATENCY_OBJECTIVE = 1000;

  private final CapacityPool pool = new CapacityPool();
  private final Accounts accounts = new Accounts();
  private final Borrowers borrowers = new Borrowers(pool);
  private final double[] latencyObjectives;
  private final WorkMeter workMeter;
  private final CapacityEstimate capacityEstimate;
  private final RetryAfterPlanner retryAfterPlanner;
  private ContractBook book = ContractBook.NONE;

  /**
   * Admits everything until contracts are applied.
   *
   * @param latencyObjectives each class's latency objective in the settings, ms
   * @param maxRetryAfter the longest Retry-After that clients accept, ms; 0 if they accept none
   */
  public AdmissionControl(double[] latencyObjectives, double maxRetryAfter) {
    this.latencyObjectives = latencyObjectives.clone();
    this.workMeter = new WorkMeter(latencyObjectives.length);
    this.capacityEstimate =
        new CapacityEstimate(
            Arrays.stream(latencyObjectives).min().orElse(DEFAULT_LATENCY_OBJECTIVE));
    this.retryAfterPlanner = new RetryAfterPlanner(maxRetryAfter);
  }

  // --- Contracts and time ------------------------------------------------------------------------

  /** Whether contracts are in force; without any, everything is admitted and nothing is charged. */
  public boolean isActive() {
    return !book.isEmpty();
  }

  /**
   * Puts other contracts in force. Pending queries end by the version that admitted them, their
   * charges are settled with the account that they were booked on, and reservations are kept.
   */
  public void apply(ContractBook replacement, double now) {
    advance(now);
    book = replacement;
    double notLent = 0;
    for (Contract contract : replacement.contracts()) {
      notLent += contract.lends() ? 0 : contract.guaranteedQuota();
      accounts.find(contract.id()).ifPresent(account -> borrowers.applyContract(account, contract));
    }
    pool.setLendableShare(Math.max(0, 1 - notLent));
    accounts.closeRetired(book, now);
  }

  /** Advances the time of the capacity estimate, of the quotas and of the borrowers. */
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
    Contract contract = book.findOrNull(request.team());
    if (contract == null) {
      return new AdmissionDecision.Rejected(request.team(), book.version(), Limit.NO_CONTRACT, 0);
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

  /** The routing policy starts queued queries by priority: a caller that waited goes first. */
  private static Router.ClassTerms prioritized(Router.ClassTerms terms) {
    return new Router.ClassTerms(
        terms.latencyObjective(),
        terms.deadline(),
        terms.minimumShare(),
        RESERVATION_PRIORITY_FACTOR * terms.priorityWeight());
  }

  /**
   * Whether the team may borrow for a query. A team that borrows at all counts from now on when
   * idle capacity is divided.
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
    return new AdmissionDecision.Rejected(account.team(), book.version(), limit, retryAfterMs);
  }

  private UsageCharge charge(
      Account account,
      UsageCharge.Basis basis,
      AdmissionRequest request,
      Router.ClassTerms terms,
      double cost,
      double now) {
    UsageCharge charge = new UsageCharge(account, basis, book.version(), request, cost, now, terms);
    account.recordAdmission(charge, request.isRetry());
    capacityEstimate.recordAdmitted(charge);
    return charge;
  }

  // --- Usage -------------------------------------------------------------------------------------

  /** Takes one of the team's retries for a part of an admitted query; false if none is left. */
  public boolean allowRetry(UsageCharge charge) {
    return charge.account().takeRetry();
  }

  /** An attempt was sent. */
  public void onAttemptSent(UsageCharge charge) {
    charge.recordAttemptSent();
  }

  /**
   * An attempt has ended after some ms. An answered attempt is charged by its latency, one that may
   * have run without an answer by estimate, and one that never ran nothing.
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

  /** The query has ended; {@code served} tells whether with an answer from servers. */
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
    if (book.findOrNull(charge.team()) == null) {
      accounts.closeRetired(book, now);
    }
  }

  // --- For operators -----------------------------------------------------------------------------

  /** Estimated capacity in standard parts a second; infinite until capacity is first scarce. */
  public double capacity() {
    return pool.ratePerSecond();
  }

  /** Standard parts a second that were recently delivered. */
  public double deliveredRate() {
    return capacityEstimate.deliveredRate();
  }

  /** The accounts of all teams that have asked for something. */
  public List<AccountView> accounts(double now) {
    advance(now);
    return accounts.views(book.version(), pool, now);
  }
}
