package bitternpulley.contracts;

/**
 * A query that asks to be admitted.
 *
 * @param team the team that was identified for the query; null if none was
 * @param queryClass the class's position in the settings
 * @param parts the number of parts that the query consists of
 * @param hintedWork ms of work that the client announces for all parts together, 0 if it announces
 *     none
 * @param isRetry whether the client marks the query as a retry
 * @param fingerprint identifies the query when its client repeats it, see {@link QueryFingerprint};
 *     0 for none
 */
public record AdmissionRequest(
    String team, int queryClass, int parts, double hintedWork, boolean isRetry, long fingerprint) {}
