package bitternpulley.policy;

/** Names of the alarms that the policy schedules. */
final class AlarmTokens {
  /** The next attempt to watch the endpoint list. */
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

  /** The query of a token of {@link #forQuery}. */
  static long queryId(String token) {
    return Long.parseLong(token.substring(QUERY_PREFIX.length()));
  }
}
