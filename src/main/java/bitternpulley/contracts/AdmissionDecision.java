package bitternpulley.contracts;

/** The answer to an {@link AdmissionRequest}: a {@link UsageCharge}, or a rejection. */
public sealed interface AdmissionDecision permits UsageCharge, AdmissionDecision.Rejected {

  /**
   * The query is not admitted; no part of it has run.
   *
   * @param team the contract's id, or the identified team (null if none) where no contract applies
   * @param version the version of the contracts that the decision was made by
   * @param limit the limit that was reached
   * @param retryAfter ms after which capacity is reserved for this caller; 0 if none is reserved
   */
  record Rejected(String team, int version, Limit limit, double retryAfter)
      implements AdmissionDecision {}
}
