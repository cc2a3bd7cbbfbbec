package bitternpulley.health;

/**
 * Detects client retries among the queries of one class when clients do not mark them. Most first
 * attempts carry the same timeout, while a retry carries the time that remains of it. The common
 * timeout is found by a majority vote, with a bounded number of votes.
 */
public final class ClientRetryDetector {
  /**
   * Largest difference in ms between timeouts that count as equal: the network delay of the client.
   */
  private static final double TIMEOUT_TOLERANCE = 12;

  /** Votes needed before the common timeout is used to detect retries. */
  private static final int MIN_VOTES = 4;

  /** Upper bound of the votes, so that another timeout can become the common one. */
  private static final int MAX_VOTES = 4 * MIN_VOTES;

  private double commonTimeout;
  private int votes;

  /** Records a query's remaining time in ms and returns whether the query counts as a retry. */
  public boolean recordAndClassify(double timeLeft) {
    if (Math.abs(timeLeft - commonTimeout) <= TIMEOUT_TOLERANCE) {
      votes = Math.min(votes + 1, MAX_VOTES);
      return false;
    }
    boolean isCommonTimeoutKnown = votes >= MIN_VOTES;
    votes--;
    if (votes <= 0) {
      commonTimeout = timeLeft;
      votes = 1;
    }
    return isCommonTimeoutKnown;
  }
}
