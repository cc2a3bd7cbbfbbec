package bitternpulley.contracts;

/**
 * A query to be admitted or rejected.
 *
 * @param team the team that was identified for the query; null if none was
 * @param queryClass the position of the query class in the settings
 * @param parts the number of parts that the query consists of
 * @param hintedWork the work of all parts together as estimated by the client, ms; 0 if the client
 *     gives no estimate
 * @param isRetry whether the client marked the query as a retry
 * @param fingerprint identifies the query when its client repeats it, see {@link QueryFingerprint};
 *     0 for none
 */
public record AdmissionRequest(
    String team, int queryClass, int parts, double hintedWork, boolean isRetry, long fingerprint) {}
