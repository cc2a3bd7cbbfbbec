package bitternpulley.health;

/**
 * Which queries of one class are a client's later tries, where clients do not mark them: a class's
 * first tries mostly bring the same time, a later one brings what is left of it. A majority vote
 * that forgets.
 */
public final class FirstTries {
  /** Ms by which the times of first tries may differ: the client's way to us. */
  private static final double SAME = 12;

  /**
   * Votes from which the majority is known, and the most that it may have, so that another can take
   * over.
   */
  private static final int SURE = 4;

  private static final int MOST = 4 * SURE;

  private double usual;
  private int votes;

  /** A query with so many ms left has come: whether it is sure to be a later try. */
  public boolean isLater(double timeLeft) {
    if (Math.abs(timeLeft - usual) <= SAME) {
      votes = Math.min(votes + 1, MOST);
      return false;
    }
    boolean sure = votes >= SURE;
    if (--votes <= 0) {
      usual = timeLeft;
      votes = 1;
    }
    return sure;
  }
}
