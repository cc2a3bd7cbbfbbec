package bitternpulley.contracts;

/** What becomes of a claim: a {@link UsageCharge}, or a refusal. */
public sealed interface AdmissionDecision permits UsageCharge, AdmissionDecision.Rejected {

  /**
   * Not let in; nothing of it has run.
   *
   * @param team the contract's id, or null where none holds
   * @param version of the book that was judged by
   * @param limit what was met
   * @param retryAfter ms after which a place is kept for this caller; 0 where none can be promised
   */
  record Rejected(String team, int version, Limit limit, double retryAfter)
      implements AdmissionDecision {}
}
