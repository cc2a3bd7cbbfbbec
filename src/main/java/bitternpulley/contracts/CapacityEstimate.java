package bitternpulley.contracts;

/**
 * Estimates the capacity of the aggregator and its servers, in standard parts a second, from the
 * latencies and outcomes that the aggregator itself observes. Capacity counts as scarce while many
 * outcomes are late, or while many pending queries are likely to be late. The estimate serves as a
 * limit on admitted work. There is no limit until capacity is scarce for the first time. The limit
 * then starts from the delivered rate, falls while capacity stays scarce, and rises while the limit
 * is used up and capacity is not scarce. The limit never falls far below the best delivered rate,
 * so that one faulty server cannot reduce it indefinitely. See docs/contracts.md for the
 * alternatives considered.
 */
final class CapacityEstimate {
  /** Time between two updates of the limit. */
  private static final double STEP_MS = 250;

  /** With fewer outcomes in a step, the share of late outcomes counts as 0. */
  private static final int MIN_OUTCOMES = 10;

  /** Capacity is scarce if the share of late outcomes is larger. */
  private static final double SCARCE_LATE_SHARE = 0.15;

  /** The limit may rise if the share of late outcomes is smaller. */
  private static final double AMPLE_LATE_SHARE = 0.05;

  /** Share of the latency objective after which a pending query counts as lagging. */
  private static final double LAGGING_AFTER_SHARE = 0.15;

  /** With fewer pending queries there is no congestion. */
  private static final int MIN_PENDING = 10;

  /** Share of lagging queries above which there may be congestion. */
  private static final double CONGESTED_LAGGING_SHARE = 0.1;

  /**
   * Used instead of {@link #CONGESTED_LAGGING_SHARE} in the first steps, as the first answers after
   * a start are slow even without congestion.
   */
  private static final double FIRST_CONGESTED_LAGGING_SHARE = 0.5;

  /** The number of steps with delivered work that count as the first steps. */
  private static final int FIRST_STEPS = 6;

  /**
   * Expected wait time, as a share of the latency objective, above which there may be congestion.
   * The wait time is the pending work divided by the best delivered rate (Little's law).
   */
  private static final double CONGESTED_WAIT_SHARE = 0.3;

  /** Expected wait time, as a share of the latency objective, below which the limit may rise. */
  private static final double AMPLE_WAIT_SHARE = 0.15;

  /** Factor applied to the limit in each step in which capacity is scarce. */
  private static final double DECREASE_FACTOR = 0.9;

  /** Factor applied to the limit in each step in which it rises. */
  private static final double INCREASE_FACTOR = 1.1;

  /** Used instead of {@link #INCREASE_FACTOR} near the best delivered rate. */
  private static final double INCREASE_FACTOR_NEAR_BEST = 1.03;

  /** Share of the best delivered rate from which on the limit counts as near that rate. */
  private static final double NEAR_BEST_SHARE = 0.9;

  /**
   * Used instead of {@link #INCREASE_FACTOR} while {@link #probing}, as little is known of the
   * capacity when it is first scarce.
   */
  private static final double INCREASE_FACTOR_PROBING = 1.5;

  /** Share of the limit that must be admitted for it to rise, as unused capacity proves nothing. */
  private static final double MIN_USED_SHARE_TO_RISE = 0.8;

  /** The lowest limit, as a share of the best delivered rate. */
  private static final double MIN_SHARE_OF_BEST = 0.75;

  /** The highest limit that a rise can reach, as a share of the best delivered rate. */
  private static final double MAX_SHARE_OF_BEST = 1.08;

  /** Used instead of {@link #MAX_SHARE_OF_BEST} while {@link #probing}. */
  private static final double MAX_SHARE_OF_BEST_PROBING = 2;

  /** Factor applied to the best delivered rate in each step in which capacity is scarce. */
  private static final double BEST_DECAY_FACTOR = 0.975;

  /** Time over which the delivered rate is smoothed. */
  private static final double SMOOTHING_MS = 500;

  /** The lowest limit, in standard parts a second; without answers the estimate cannot recover. */
  private static final double MIN_RATE = 10;

  private final double latencyObjective;
  private final PendingWork pending;
  private double rate = Double.POSITIVE_INFINITY;
  private double deliveredRate;
  private double bestDeliveredRate;

  /**
   * Whether the limit rises fast: until capacity is scarce under a limit of at least the best
   * delivered rate.
   */
  private boolean probing = true;

  /** The number of steps in which work was delivered, counted up to {@link #FIRST_STEPS}. */
  private int stepsWithDeliveries;

  private double stepStart = Double.NaN;
  private double deliveredInStep;
  private double admittedInStep;
  private int outcomesInStep;
  private int lateInStep;

  /** {@code latencyObjective} is the shortest of all query classes, ms. */
  CapacityEstimate(double latencyObjective) {
    this.latencyObjective = latencyObjective;
    this.pending = new PendingWork(LAGGING_AFTER_SHARE * latencyObjective);
  }

  /** The limit in standard parts a second; infinite until capacity was first scarce. */
  double rate() {
    return rate;
  }

  /** Recent rate of delivered work, in standard parts a second. */
  double deliveredRate() {
    return deliveredRate;
  }

  /** Whether many pending queries are likely to be late. */
  boolean isCongested() {
    double laggingShare =
        stepsWithDeliveries < FIRST_STEPS ? FIRST_CONGESTED_LAGGING_SHARE : CONGESTED_LAGGING_SHARE;
    return pending.queries() >= MIN_PENDING
        && pending.isLaggingShareAbove(laggingShare)
        && isWaitLongerThan(CONGESTED_WAIT_SHARE);
  }

  /** Whether the expected wait time exceeds a share of the latency objective. */
  private boolean isWaitLongerThan(double share) {
    return pending.estimatedWork() > share * latencyObjective / 1000 * bestDeliveredRate;
  }

  /** Records that an attempt delivered this many standard parts. */
  void recordDelivered(double amount) {
    deliveredInStep += amount;
  }

  /** Records an admitted query. */
  void recordAdmitted(UsageCharge charge) {
    admittedInStep += charge.estimatedWork();
    pending.add(charge);
  }

  /** Records that a query has ended, within its latency objective or not. */
  void recordQueryEnded(UsageCharge charge, boolean inTime) {
    pending.remove(charge);
    recordOutcome(inTime);
  }

  /** Records that an attempt or a query has ended, in time or not. */
  void recordOutcome(boolean inTime) {
    outcomesInStep++;
    if (!inTime) {
      lateInStep++;
    }
  }

  /** Ends the current step if it is due; returns whether the rate has changed. */
  boolean advance(double now) {
    pending.advance(now);
    if (Double.isNaN(stepStart)) {
      stepStart = now;
    }
    double passed = now - stepStart;
    // The first congestion ends the step at once: nothing is limited until then, and admitted
    // queries cannot be withdrawn.
    boolean isFirstCongestion = !isLimited() && isCongested() && passed > 0;
    if (passed < STEP_MS && !isFirstCongestion) {
      return false;
    }
    return endStep(now, passed);
  }

  private boolean endStep(double now, double passedMs) {
    stepStart = now;
    double perSecond = 1000 / passedMs;
    updateDeliveredRate(deliveredInStep * perSecond, passedMs);
    double before = rate;
    updateRate(admittedInStep * perSecond);
    outcomesInStep = 0;
    lateInStep = 0;
    deliveredInStep = 0;
    admittedInStep = 0;
    return rate != before;
  }

  private void updateDeliveredRate(double sample, double passedMs) {
    // The first sample is not smoothed: an average that starts from zero would suggest that there
    // is almost no capacity after a start.
    double weight = deliveredRate == 0 ? 1 : Math.min(1, passedMs / SMOOTHING_MS);
    deliveredRate += weight * (sample - deliveredRate);
    bestDeliveredRate = Math.max(bestDeliveredRate, deliveredRate);
    if (deliveredInStep > 0 && stepsWithDeliveries < FIRST_STEPS) {
      stepsWithDeliveries++;
    }
  }

  private void updateRate(double admittedRate) {
    double lateShare = outcomesInStep < MIN_OUTCOMES ? 0 : (double) lateInStep / outcomesInStep;
    if (isCongested() || lateShare > SCARCE_LATE_SHARE) {
      lowerRate();
    } else if (mayRise(lateShare, admittedRate)) {
      raiseRate();
    }
    // A rate that was delivered once can be delivered again; without this bound, recovery after a
    // decrease would take seconds.
    rate = Math.max(rate, Math.max(MIN_RATE, MIN_SHARE_OF_BEST * bestDeliveredRate));
  }

  private void lowerRate() {
    probing &= !isLimited() || rate < bestDeliveredRate;
    // The limit is set below the delivered rate, as the queued work has to be done as well.
    double lowered =
        isLimited() ? DECREASE_FACTOR * Math.min(rate, deliveredRate) : bestDeliveredRate;
    rate = Math.min(rate, lowered);
    bestDeliveredRate *= BEST_DECAY_FACTOR;
  }

  private boolean mayRise(double lateShare, double admittedRate) {
    return isLimited()
        && lateShare < AMPLE_LATE_SHARE
        && !isWaitLongerThan(AMPLE_WAIT_SHARE)
        && admittedRate > MIN_USED_SHARE_TO_RISE * rate;
  }

  private void raiseRate() {
    double highest = (probing ? MAX_SHARE_OF_BEST_PROBING : MAX_SHARE_OF_BEST) * bestDeliveredRate;
    rate = Math.max(rate, Math.min(increaseFactor() * rate, highest));
  }

  private double increaseFactor() {
    if (probing) {
      return INCREASE_FACTOR_PROBING;
    }
    return rate < NEAR_BEST_SHARE * bestDeliveredRate ? INCREASE_FACTOR : INCREASE_FACTOR_NEAR_BEST;
  }

  private boolean isLimited() {
    return rate != Double.POSITIVE_INFINITY;
  }
}
