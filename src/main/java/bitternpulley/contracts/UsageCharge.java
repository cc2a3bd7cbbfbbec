package bitternpulley.contracts;

import bitternpulley.routing.Router;

/**
 * What an admitted query has booked on its team's account, from its admission until its last
 * attempt has ended.
 */
public final class UsageCharge implements AdmissionDecision {
  /** On what a query was let in. */
  public enum Basis {
    GUARANTEE,
    LOAN,
    PROMISE,
    UNLIMITED
  }

  final Account account;
  final Basis basis;
  final int version;
  final int queryClass;
  final int parts;

  /** Standard parts booked by estimate, and what was seen so far. */
  final double booked;

  final double since;
  double used;
  int attemptsOut;
  boolean over;

  /** Open for longer than a query that will be in time. */
  boolean old;

  boolean settled;
  private final Router.ClassTerms terms;

  UsageCharge(
      Account account,
      Basis basis,
      int version,
      AdmissionRequest claim,
      double booked,
      double now,
      Router.ClassTerms terms) {
    this.account = account;
    this.basis = basis;
    this.version = version;
    this.queryClass = claim.queryClass();
    this.parts = claim.parts();
    this.booked = booked;
    this.since = now;
    this.terms = terms;
  }

  /**
   * What the contract that let it in says of its class: it holds to the query's end, whatever
   * changes meanwhile.
   */
  public Router.ClassTerms terms() {
    return terms;
  }

  public String team() {
    return account.team;
  }

  public int version() {
    return version;
  }

  public Basis basis() {
    return basis;
  }

  /** Standard parts booked by estimate. */
  public double booked() {
    return booked;
  }

  /** Standard parts that its attempts were seen to take, so far. */
  public double used() {
    return used;
  }

  /** Whether the account has been settled: nothing of it is out any more. */
  public boolean settled() {
    return settled;
  }
}
