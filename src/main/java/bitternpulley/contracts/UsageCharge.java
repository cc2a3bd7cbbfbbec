package bitternpulley.contracts;

import bitternpulley.routing.Router;

/**
 * An admitted query's charge to its team's account, from admission until the query and all its
 * attempts have ended. The query is charged its estimated work at admission; the charge is settled
 * once, by the measured work.
 */
public final class UsageCharge implements AdmissionDecision {
  /** The reason why a query was admitted. */
  public enum Basis {
    /** The team's guaranteed quota. */
    GUARANTEE("GUARANTEE"),
    /** Borrowed capacity that other teams leave idle. */
    LOAN("LOAN"),
    /** A reservation that was made when the query was rejected earlier. */
    RESERVATION("PROMISE"),
    /** Capacity is not limited. */
    UNLIMITED("UNLIMITED");

    private final String text;

    Basis(String text) {
      this.text = text;
    }

    /** The name of the basis in the contract log. */
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
  private final double estimatedWork;
  private final double admittedAt;
  private final Router.ClassTerms terms;
  private double measuredWork;
  private int attemptsInFlight;
  private boolean ended;
  private boolean lagging;
  private boolean isSettled;

  UsageCharge(
      Account account,
      Basis basis,
      int version,
      AdmissionRequest request,
      double estimatedWork,
      double now,
      Router.ClassTerms terms) {
    this.account = account;
    this.basis = basis;
    this.version = version;
    this.queryClass = request.queryClass();
    this.parts = request.parts();
    this.estimatedWork = estimatedWork;
    this.admittedAt = now;
    this.terms = terms;
  }

  /** The terms of the query's class, which later changes of the contracts do not affect. */
  public Router.ClassTerms terms() {
    return terms;
  }

  /** The contract's id. */
  public String team() {
    return account.team();
  }

  /** The version of the contracts by which the query was admitted. */
  public int version() {
    return version;
  }

  /** The reason why the query was admitted. */
  public Basis basis() {
    return basis;
  }

  /** The estimated work that was charged at admission, in standard parts. */
  public double estimatedWork() {
    return estimatedWork;
  }

  /** The work measured so far, in standard parts. */
  public double measuredWork() {
    return measuredWork;
  }

  /** Whether the charge is settled: the query and all its attempts have ended. */
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

  /** Records that an attempt has ended and is charged this many standard parts. */
  void recordAttemptEnded(double cost) {
    attemptsInFlight--;
    measuredWork += cost;
  }

  /** Records that the query has ended; returns false if it had already ended. */
  boolean end() {
    boolean wasPending = !ended;
    ended = true;
    return wasPending;
  }

  /** Marks the query as lagging if it is still pending; returns whether it is. */
  boolean markLaggingIfPending() {
    lagging = !ended;
    return lagging;
  }

  boolean isLagging() {
    return lagging;
  }

  /**
   * Settles the charge if the query and all its attempts have ended; returns whether this call did.
   */
  boolean settleIfComplete() {
    if (!ended || attemptsInFlight > 0 || isSettled) {
      return false;
    }
    isSettled = true;
    return true;
  }
}
