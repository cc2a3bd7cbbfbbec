package bitternpulley.policy;

/** Tokens that identify the alarms of the routing policy. */
final class AlarmTokens {
  /** The alarm that repeats a failed request for the endpoint list. */
  static final String WATCH_ENDPOINTS = "watch";

  private static final String QUERY_PREFIX = "q";

  private AlarmTokens() {}

  /** The token of a query's alarm. */
  static String forQuery(long queryId) {
    return QUERY_PREFIX + queryId;
  }

  static boolean isQueryToken(String token) {
    return token.startsWith(QUERY_PREFIX);
  }

  /** The id of the query for which {@link #forQuery} made this token. */
  static long queryId(String token) {
    return Long.parseLong(token.substring(QUERY_PREFIX.length()));
  }
}
