package bitternpulley.contracts;

/** The clients of one team in {@link SimulatedTeams}, and what became of their queries. */
final class SimulatedTeam {
  private final String id;
  private final int parts;
  private double queriesPerSecond;
  private boolean retriesAtOnce;
  private boolean honorsRetryAfter;
  private int asked;
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

  /** Parts of each query. */
  int parts() {
    return parts;
  }

  double queriesPerSecond() {
    return queriesPerSecond;
  }

  void setQueriesPerSecond(double rate) {
    queriesPerSecond = rate;
  }

  /** Makes clients repeat a rejected query after a millisecond. */
  void retryAtOnce() {
    retriesAtOnce = true;
  }

  /** Makes clients repeat a rejected query after its Retry-After. */
  void honorRetryAfter() {
    honorsRetryAfter = true;
  }

  boolean retriesAtOnce() {
    return retriesAtOnce;
  }

  boolean honorsRetryAfter() {
    return honorsRetryAfter;
  }

  void recordAsked() {
    asked++;
  }

  void recordRetryAfter() {
    retryAfterReceived++;
  }

  /** A query was served, perhaps within its latency objective, perhaps after its Retry-After. */
  void recordServed(boolean wasInTime, boolean afterRetryAfter) {
    inTime += wasInTime ? 1 : 0;
    returnsServed += afterRetryAfter ? 1 : 0;
    workServed += parts;
  }

  void resetCounts() {
    asked = 0;
    inTime = 0;
    retryAfterReceived = 0;
    returnsServed = 0;
    workServed = 0;
  }

  /** Queries served within their latency objective. */
  int inTime() {
    return inTime;
  }

  /** Share of the queries that were served within their latency objective. */
  double inTimeShare() {
    return (double) inTime / asked;
  }

  /** Rejected queries whose clients return after a Retry-After. */
  int retryAfterReceived() {
    return retryAfterReceived;
  }

  /** Queries served after their Retry-After. */
  int returnsServed() {
    return returnsServed;
  }

  /** Parts served. */
  double workServed() {
    return workServed;
  }
}
