package bitternpulley.contracts;

/** The clients of one team in {@link SimulatedTeams}, and the results of their queries. */
final class SimulatedTeam {
  private final String id;
  private final int parts;
  private double queriesPerSecond;
  private boolean retriesImmediately;
  private boolean honorsRetryAfter;
  private int sent;
  private int inTime;
  private int retryAfterReceived;
  private int returnsServed;
  private double workServed;

  SimulatedTeam(String id, double queriesPerSecond, int parts) {
    this.id = id;
    this.queriesPerSecond = queriesPerSecond;
    this.parts = parts;
  }

  String id() {
    return id;
  }

  /** The number of parts of each query. */
  int parts() {
    return parts;
  }

  double queriesPerSecond() {
    return queriesPerSecond;
  }

  void setQueriesPerSecond(double rate) {
    queriesPerSecond = rate;
  }

  /** Makes clients repeat a rejected query after one millisecond. */
  void retryImmediately() {
    retriesImmediately = true;
  }

  /** Makes clients repeat a rejected query after its Retry-After. */
  void honorRetryAfter() {
    honorsRetryAfter = true;
  }

  boolean retriesImmediately() {
    return retriesImmediately;
  }

  boolean honorsRetryAfter() {
    return honorsRetryAfter;
  }

  void recordSent() {
    sent++;
  }

  void recordRetryAfter() {
    retryAfterReceived++;
  }

  /**
   * Records a served query, and whether it was served within its latency objective and after its
   * Retry-After.
   */
  void recordServed(boolean wasInTime, boolean afterRetryAfter) {
    inTime += wasInTime ? 1 : 0;
    returnsServed += afterRetryAfter ? 1 : 0;
    workServed += parts;
  }

  void resetCounts() {
    sent = 0;
    inTime = 0;
    retryAfterReceived = 0;
    returnsServed = 0;
    workServed = 0;
  }

  /** The number of parts of the queries that clients sent, without their retries. */
  double workSent() {
    return (double) parts * sent;
  }

  /** The number of queries served within their latency objective. */
  int inTime() {
    return inTime;
  }

  /** Share of the queries that were served within their latency objective. */
  double inTimeShare() {
    return (double) inTime / sent;
  }

  /** The number of rejected queries whose clients return after a Retry-After. */
  int retryAfterReceived() {
    return retryAfterReceived;
  }

  /** The number of queries served after their Retry-After. */
  int returnsServed() {
    return returnsServed;
  }

  /** The number of parts served. */
  double workServed() {
    return workServed;
  }
}
