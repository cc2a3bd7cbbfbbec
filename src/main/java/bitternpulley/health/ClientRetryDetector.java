package bitternpulley.health;

/**
 * Recognizes the client retries among the queries of one class, where clients do not mark them:
 * first attempts mostly carry the same timeout, retries carry what is left of it. The common
 * timeout is found by a majority vote with a bounded lead.
 */
public final class ClientRetryDetector {
  /** Difference in ms within which two timeouts are the same: the network delay of the client. */
  private static final double TIMEOUT_TOLERANCE = 12;

  /** Votes from which the majority is accepted. */
  private static final int ACCEPTED_VOTES = 4;

  /** Upper bound of the votes, so that another timeout can become the majority. */
  private static final int MAX_VOTES = 4 * ACCEPTED_VOTES;

  private double commonTimeout;
  private int votes;

  /** Records a query with this remaining time in ms; returns whether it certainly is a retry. */
  public boolean recordAndClassify(double timeLeft) {
    if (Math.abs(timeLeft - commonTimeout) <= TIMEOUT_TOLERANCE) {
      votes = Math.min(votes + 1, MAX_VOTES);
      return false;
    }
    boolean isAccepted = votes >= ACCEPTED_VOTES;
    votes--;
    if (votes <= 0) {
      commonTimeout = timeLeft;
      votes = 1;
    }
    return isAccepted;
  }
}
