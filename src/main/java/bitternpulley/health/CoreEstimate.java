package bitternpulley.health;

/**
 * How many cores a server certainly has, which no setting states: one, until servers were observed
 * to process two parts at once. Of two parts that wait at a server of one core, the second is
 * answered at least its own work after the first; a server of several cores mostly answers both
 * within less. Parts of other instances only lengthen the gap, so the estimate errs towards fewer
 * cores. All servers share one estimate; more than two cores count as two.
 */
public final class CoreEstimate {
  /** Gap between two answers, as a share of a part's work, below which both ran at once. */
  private static final double PARALLEL_GAP_SHARE = 0.5;

  /** Largest share of parallel pairs that a server of one core shows. */
  private static final double PARALLEL_SHARE_ONE_CORE = 0.2;

  /** Smallest share of parallel pairs that a server of two cores shows. */
  private static final double PARALLEL_SHARE_TWO_CORES = 0.55;

  /** Log odds from which two cores are accepted, about one error in fifty; also their bound. */
  private static final double DECISION_LOG_ODDS = 4;

  /** Share of its nominal speed that a core certainly has. */
  private static final double MINIMUM_SPEED = 0.9;

  /** Log odds of two cores against one: a sequential probability ratio test. */
  private double logOdds;

  private boolean hasTwoCores;

  /**
   * Records two parts that were in flight together at a warm server.
   *
   * @param gap time between the two answers in ms
   * @param work work of the second part in ms
   */
  public void recordAnswerGap(double gap, double work) {
    boolean parallel = gap < PARALLEL_GAP_SHARE * work;
    logOdds +=
        parallel
            ? Math.log(PARALLEL_SHARE_TWO_CORES / PARALLEL_SHARE_ONE_CORE)
            : Math.log((1 - PARALLEL_SHARE_TWO_CORES) / (1 - PARALLEL_SHARE_ONE_CORE));
    logOdds = Math.max(-DECISION_LOG_ODDS, Math.min(logOdds, DECISION_LOG_ODDS));
    hasTwoCores = logOdds >= DECISION_LOG_ODDS || (hasTwoCores && logOdds > 0);
  }

  /** Work that a warm server certainly completes, in ms of work per ms. */
  public double minimumCapacity() {
    return MINIMUM_SPEED * (hasTwoCores ? 2 : 1);
  }
}
