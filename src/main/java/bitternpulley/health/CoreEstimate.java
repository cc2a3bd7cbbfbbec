package bitternpulley.health;

/**
 * How many cores a server is sure to have, which no setting tells: one, until servers were seen to
 * work on two parts at once. Of two parts that wait at a server together, one of one core answers
 * the second at least its own work after the first; one of more cores mostly answers both within
 * less. What other instances' parts do in between only lengthens the gap, so that doubt errs to
 * fewer cores. Kinds of servers are not told apart; three cores and more count as two.
 */
public final class CoreEstimate {
  /**
   * Gap between two answers, as a share of a part's work, below which both were worked on at once.
   */
  private static final double TOGETHER = 0.5;

  /**
   * Share of such pairs that one core gives at the most, and that two give at least, where work
   * spreads as the sites say.
   */
  private static final double ONE_CORE = 0.2;

  private static final double TWO_CORES = 0.55;

  /**
   * Logarithm of the odds from which two cores are sure: one in fifty is wrong. No more is kept, so
   * that a change shows.
   */
  private static final double SURE = 4;

  /**
   * Share of its cores that a server is sure to do in work, ms per ms: its speed may lie a tenth
   * below the nominal.
   */
  private static final double SPEED = 0.9;

  /**
   * Logarithm of the odds that servers have two cores rather than one: a sequential probability
   * ratio test.
   */
  private double odds;

  private boolean two;

  /**
   * Two parts that were out together at a server long warm were answered so many ms apart; the
   * second was of so much work.
   */
  public void answered(double gap, double work) {
    boolean together = gap < TOGETHER * work;
    odds += together ? Math.log(TWO_CORES / ONE_CORE) : Math.log((1 - TWO_CORES) / (1 - ONE_CORE));
    odds = Math.max(-SURE, Math.min(odds, SURE));
    two = odds >= SURE || two && odds > 0;
  }

  /** Work that a warm server is sure to do, ms per ms. */
  public double sure() {
    return SPEED * (two ? 2 : 1);
  }
}
