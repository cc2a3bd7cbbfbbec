package bitternpulley.contracts;

/** The answer to an {@link AdmissionRequest}: a {@link UsageCharge}, or a rejection. */
public sealed interface AdmissionDecision permits UsageCharge, AdmissionDecision.Rejected {

  /**
   * The query is not admitted; no part of it has run.
   *
   * @param team the contract's id; if no contract applies, the identified team or null
   * @param version the version of the contracts by which the decision was made
   * @param limit the limit that was reached
   * @param retryAfter ms after which capacity is reserved for this caller; 0 if none is reserved
   */
  record Rejected(String team, int version, Limit limit, double retryAfter)
      implements AdmissionDecision {}
}
