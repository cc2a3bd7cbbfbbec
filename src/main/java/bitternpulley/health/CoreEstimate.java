package bitternpulley.health;

/**
 * Estimates how many cores a server certainly has, since no setting states it. The estimate is one
 * core until servers have been observed to process two parts in parallel. When two parts wait at a
 * server with one core, the second answer follows the first after at least the work of the second
 * part; a server with several cores usually sends both answers within less time. Parts of other
 * instances only lengthen the gap, so the estimate errs towards fewer cores. All servers share one
 * estimate, in which more than two cores count as two.
 */
public final class CoreEstimate {
  /**
   * Two parts ran in parallel if the gap between their answers is below this share of a part's
   * work.
   */
  private static final double MAX_PARALLEL_GAP_SHARE = 0.5;

  /** Largest share of parallel pairs at a server with one core. */
  private static final double PARALLEL_SHARE_ONE_CORE = 0.2;

  /** Smallest share of parallel pairs at a server with two cores. */
  private static final double PARALLEL_SHARE_TWO_CORES = 0.55;

  /**
   * Log odds at which two cores are accepted, which allows about one error in fifty. The log odds
   * are limited to this value in both directions.
   */
  private static final double DECISION_LOG_ODDS = 4;

  /** Share of its nominal speed that a core certainly reaches. */
  private static final double MIN_CORE_SPEED = 0.9;

  /** Log odds of two cores against one, from a sequential probability ratio test. */
  private double logOdds;

  private boolean hasTwoCores;

  /**
   * Records two parts that were in flight together at a warm server.
   *
   * @param gap time between the two answers in ms
   * @param work work of the second part in ms
   */
  public void recordAnswerGap(double gap, double work) {
    boolean isParallel = gap < MAX_PARALLEL_GAP_SHARE * work;
    logOdds +=
        isParallel
            ? Math.log(PARALLEL_SHARE_TWO_CORES / PARALLEL_SHARE_ONE_CORE)
            : Math.log((1 - PARALLEL_SHARE_TWO_CORES) / (1 - PARALLEL_SHARE_ONE_CORE));
    logOdds = Math.max(-DECISION_LOG_ODDS, Math.min(logOdds, DECISION_LOG_ODDS));
    hasTwoCores = logOdds >= DECISION_LOG_ODDS || (hasTwoCores && logOdds > 0);
  }

  /** Work that a warm server certainly completes per ms, in ms of one core. */
  public double minimumCapacity() {
    return MIN_CORE_SPEED * (hasTwoCores ? 2 : 1);
  }
}
