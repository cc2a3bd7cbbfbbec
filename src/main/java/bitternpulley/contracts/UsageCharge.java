package bitternpulley.contracts;

import bitternpulley.routing.Router;

/**
 * An admitted query's charge to its team's account, from admission until the query and all its
 * attempts have ended. It is booked by estimate and settled once by what was measured.
 */
public final class UsageCharge implements AdmissionDecision {
  /** Why a query was admitted. */
  public enum Basis {
    /** The team's guaranteed quota. */
    GUARANTEE("GUARANTEE"),
    /** Capacity that other teams leave idle. */
    LOAN("LOAN"),
    /** A reservation, made when the query was rejected before. */
    RESERVATION("PROMISE"),
    /** Capacity is not limited. */
    UNLIMITED("UNLIMITED");

    private final String text;

    Basis(String text) {
      this.text = text;
    }

    /** The word in the contract log. */
    @Override
    public String toString() {
      return text;
    }
  }

  private final Account account;
  private final Basis basis;
  private final int version;
  private final int queryClass;
  private final int parts;
  private final double booked;
  private final double admittedAt;
  private final Router.ClassTerms terms;
  private double used;
  private int attemptsInFlight;
  private boolean ended;
  private boolean lagging;
  private boolean isSettled;

  UsageCharge(
      Account account,
      Basis basis,
      int version,
      AdmissionRequest request,
      double booked,
      double now,
      Router.ClassTerms terms) {
    this.account = account;
    this.basis = basis;
    this.version = version;
    this.queryClass = request.queryClass();
    this.parts = request.parts();
    this.booked = booked;
    this.admittedAt = now;
    this.terms = terms;
  }

  /** The terms of the query's class, which hold to its end whatever contract is put in force. */
  public Router.ClassTerms terms() {
    return terms;
  }

  /** The contract's id. */
  public String team() {
    return account.team();
  }

  /** The version of the contracts that the query was admitted by. */
  public int version() {
    return version;
  }

  /** Why the query was admitted. */
  public Basis basis() {
    return basis;
  }

  /** Standard parts booked by estimate. */
  public double booked() {
    return booked;
  }

  /** Standard parts measured so far. */
  public double used() {
    return used;
  }

  /** Whether the account was settled: the query and all its attempts have ended. */
  public boolean isSettled() {
    return isSettled;
  }

  Account account() {
    return account;
  }

  int queryClass() {
    return queryClass;
  }

  int parts() {
    return parts;
  }

  double admittedAt() {
    return admittedAt;
  }

  void recordAttemptSent() {
    attemptsInFlight++;
  }

  /** An attempt has ended and is charged this many standard parts. */
  void recordAttemptEnded(double cost) {
    attemptsInFlight--;
    used += cost;
  }

  /** The query has ended; returns false if it had before. */
  boolean end() {
    boolean wasPending = !ended;
    ended = true;
    return wasPending;
  }

  /** The query has been pending for long; returns whether it still is, and therefore lags. */
  boolean markLaggingIfPending() {
    lagging = !ended;
    return lagging;
  }

  boolean isLagging() {
    return lagging;
  }

  /** Settles the charge once nothing of it is in flight; returns whether this call did. */
  boolean settleIfComplete() {
    if (!ended || attemptsInFlight > 0 || isSettled) {
      return false;
    }
    isSettled = true;
    return true;
  }
}
