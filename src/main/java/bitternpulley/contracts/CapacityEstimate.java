package bitternpulley.contracts;

/**
 * Estimates the capacity of the aggregator and the servers behind it, in standard parts a second,
 * from latencies alone. Capacity counts as scarce while many outcomes are late, or most pending
 * queries are likely to be. Until this is first seen there is no limit; then the limit starts from
 * the delivered rate, falls while capacity stays scarce, and rises while it is used up and not
 * scarce. It never falls far below the best delivered rate, so that one faulty server cannot reduce
 * it without end. See docs/contracts.md for the alternatives considered.
 */
final class CapacityEstimate {
  /** Ms between two decisions. */
  private static final double STEP_MS = 250;

  /** Outcomes in a step below which their lateness is not judged. */
  private static final int MIN_OUTCOMES = 10;

  /** Capacity is scarce if a larger share of the outcomes is late. */
  private static final double SCARCE_LATE_SHARE = 0.15;

  /** The limit may rise if a smaller share of the outcomes is late. */
  private static final double AMPLE_LATE_SHARE = 0.05;

  /** Share of the latency objective after which a pending query lags. */
  private static final double LAGGING_AFTER = 0.15;

  /** Pending queries below which there is no congestion. */
  private static final int MIN_PENDING = 10;

  /** Share of lagging queries above which there may be congestion. */
  private static final double CONGESTED_LAGGING_SHARE = 0.1;

  /**
   * The same in the first steps, as the first answers after a start are slow without congestion.
   */
  private static final double FIRST_CONGESTED_LAGGING_SHARE = 0.5;

  /** The number of steps with deliveries that count as first. */
  private static final int FIRST_STEPS = 6;

  /**
   * Expected wait, as a share of the latency objective, above which there may be congestion. The
   * wait is the pending work divided by the best delivered rate (Little's law).
   */
  private static final double CONGESTED_WAIT = 0.3;

  /** Expected wait, as a share of the latency objective, below which the limit may rise. */
  private static final double AMPLE_WAIT = 0.15;

  /** Factor of the limit for each step in which capacity is scarce. */
  private static final double DECREASE = 0.9;

  /** Factor of the limit for each step in which it rises. */
  private static final double INCREASE = 1.1;

  /** The same near the best delivered rate. */
  private static final double INCREASE_NEAR_BEST = 1.03;

  /** Share of the best delivered rate from which the limit is near it. */
  private static final double NEAR_BEST = 0.9;

  /** Factor of the limit until scarcity is seen again: the first one is seen with little known. */
  private static final double INCREASE_PROBING = 1.5;

  /** Share of the limit that must be admitted for it to rise: unused capacity proves nothing. */
  private static final double MIN_USE_TO_RISE = 0.8;

  /** The lowest limit, as a share of the best delivered rate. */
  private static final double MIN_OF_BEST = 0.75;

  /** The limit's highest rise, as a share of the best delivered rate. */
  private static final double MAX_OF_BEST = 1.08;

  /** The same until scarcity is seen again. */
  private static final double MAX_OF_BEST_PROBING = 2;

  /** Factor of the best delivered rate for each step in which capacity is scarce. */
  private static final double BEST_DECAY = 0.975;

  /** Ms over which the delivered rate is smoothed. */
  private static final double SMOOTHING_MS = 500;

  /** The lowest limit, parts a second: without answers the estimate could not recover. */
  private static final double MIN_RATE = 10;

  private final double latencyObjective;
  private final PendingWork pending;
  private double rate = Double.POSITIVE_INFINITY;
  private double deliveredRate;
  private double bestDeliveredRate;
  private boolean probing = true;

  /** Steps in which something was delivered, counted up to {@link #FIRST_STEPS}. */
  private int deliveringSteps;

  private double stepStart = Double.NaN;
  private double deliveredInStep;
  private double admittedInStep;
  private int outcomesInStep;
  private int lateInStep;

  /** {@code latencyObjective}: the shortest of any class, ms. */
  CapacityEstimate(double latencyObjective) {
    this.latencyObjective = latencyObjective;
    this.pending = new PendingWork(LAGGING_AFTER * latencyObjective);
  }

  /** Standard parts a second; infinite until capacity is first scarce. */
  double rate() {
    return rate;
  }

  /** Standard parts a second that were recently delivered. */
  double deliveredRate() {
    return deliveredRate;
  }

  /** Whether many pending queries are likely to be late. */
  boolean isCongested() {
    double laggingShare =
        deliveringSteps < FIRST_STEPS ? FIRST_CONGESTED_LAGGING_SHARE : CONGESTED_LAGGING_SHARE;
    return pending.queries() >= MIN_PENDING
        && pending.isMoreLaggingThan(laggingShare)
        && isWaitLongerThan(CONGESTED_WAIT);
  }

  /** Whether the expected wait is longer than a share of the latency objective. */
  private boolean isWaitLongerThan(double share) {
    return pending.parts() > share * latencyObjective / 1000 * bestDeliveredRate;
  }

  /** An attempt delivered this many standard parts. */
  void recordDelivered(double amount) {
    deliveredInStep += amount;
  }

  /** A query was admitted. */
  void recordAdmitted(UsageCharge charge) {
    admittedInStep += charge.booked();
    pending.add(charge);
  }

  /** A query has ended, within its latency objective or not. */
  void recordQueryEnded(UsageCharge charge, boolean inTime) {
    pending.remove(charge);
    recordOutcome(inTime);
  }

  /** An attempt or a query has ended, in time or not. */
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
    // The first congestion ends a step at once: nothing is limited until then, and what is admitted
    // cannot be called back.
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
    // The first sample counts fully: smoothed from zero, a start would seem to have no capacity.
    double weight = deliveredRate == 0 ? 1 : Math.min(1, passedMs / SMOOTHING_MS);
    deliveredRate += weight * (sample - deliveredRate);
    bestDeliveredRate = Math.max(bestDeliveredRate, deliveredRate);
    if (deliveredInStep > 0 && deliveringSteps < FIRST_STEPS) {
      deliveringSteps++;
    }
  }

  private void updateRate(double admittedRate) {
    double lateShare = outcomesInStep < MIN_OUTCOMES ? 0 : (double) lateInStep / outcomesInStep;
    if (isCongested() || lateShare > SCARCE_LATE_SHARE) {
      lowerRate();
    } else if (mayRise(lateShare, admittedRate)) {
      raiseRate();
    }
    // What was delivered can be delivered again; without this bound, recovering from a fall would
    // take seconds.
    rate = Math.max(rate, Math.max(MIN_RATE, MIN_OF_BEST * bestDeliveredRate));
  }

  private void lowerRate() {
    probing &= !isLimited() || rate < bestDeliveredRate;
    // Below the delivered rate, as the queued work has to be done as well.
    double lowered = isLimited() ? DECREASE * Math.min(rate, deliveredRate) : bestDeliveredRate;
    rate = Math.min(rate, lowered);
    bestDeliveredRate *= BEST_DECAY;
  }

  private boolean mayRise(double lateShare, double admittedRate) {
    return isLimited()
        && lateShare < AMPLE_LATE_SHARE
        && !isWaitLongerThan(AMPLE_WAIT)
        && admittedRate > MIN_USE_TO_RISE * rate;
  }

  private void raiseRate() {
    double highest = (probing ? MAX_OF_BEST_PROBING : MAX_OF_BEST) * bestDeliveredRate;
    rate = Math.max(rate, Math.min(increase() * rate, highest));
  }

  private double increase() {
    if (probing) {
      return INCREASE_PROBING;
    }
    return rate < NEAR_BEST * bestDeliveredRate ? INCREASE : INCREASE_NEAR_BEST;
  }

  private boolean isLimited() {
    return rate != Double.POSITIVE_INFINITY;
  }
}
