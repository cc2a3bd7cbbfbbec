package bitternpulley.contracts;

import java.util.ArrayDeque;

/**
 * What this aggregator and the servers behind it can do, in standard parts a second, from what
 * answers show: nobody tells. Work counts as scarce while much of what ends is late, or most of
 * what is open is on its way to be. Until that is first seen there is no limit; then it is what was
 * delivered, falls while work stays scarce, and grows while it is used up and work is not. How far
 * it falls is bounded by the best that was delivered, so that one server's trouble cannot talk it
 * down without end; see docs/contracts.md for the ways weighed.
 */
final class CapacityEstimate {
  /** Ms between decisions, and the ends that one needs to tell by lateness. */
  private static final double STEP = 250;

  private static final int LEAST_ENDS = 10;

  /**
   * Share of what ends that may be late before work counts as scarce, and below which there is room
   * for more.
   */
  private static final double SCARCE = 0.15;

  private static final double AMPLE = 0.05;

  /**
   * Queries that must be open, the share of them that is old, and what is open as a share of the
   * wanted time by what was best delivered (Little's law tells the wait), for work to be scarce at
   * once; and the last below which there is room for more.
   */
  private static final int LEAST_OPEN = 10;

  private static final double OLD_SHARE = 0.1;

  /**
   * The same while little was delivered yet, so that the slow first answers of a start are no sign;
   * and for how many steps.
   */
  private static final double OLD_SHARE_FIRST = 0.5;

  private static final int FIRST_STEPS = 6;
  private static final double CROWDED = 0.3;
  private static final double ROOMY = 0.15;

  /** Share of the wanted time after which an open query is old. */
  private static final double OLD_AFTER = 0.15;

  /**
   * What a step leaves while work is scarce, and adds while there is room, far from the best
   * delivered and near it.
   */
  private static final double FALL = 0.9;

  private static final double RISE = 1.1;
  private static final double RISE_NEAR = 1.03;
  private static final double NEAR = 0.9;

  /**
   * What a step adds until scarcity is seen a second time: the first was seen with little known,
   * after a start.
   */
  private static final double RISE_FIRST = 1.5;

  private static final double MOST_AT_FIRST = 2;

  /** Share of the rate that must be wanted for it to rise: what nobody uses shows nothing. */
  private static final double WANTED = 0.8;

  /**
   * Shares of the best delivered between which it stays, and what a scarce step leaves of that
   * best.
   */
  private static final double LEAST_OF_BEST = 0.75;

  private static final double MOST_OF_BEST = 1.08;
  private static final double BEST_LEFT = 0.975;

  /** Ms over which deliveries are smoothed. */
  private static final double SMOOTHED = 500;

  /** The least rate: ten parts a second, so that there is always something to learn from. */
  private static final double LEAST = 10;

  private final double wanted;
  private final ArrayDeque<UsageCharge> young = new ArrayDeque<>();
  private int open;
  private int old;
  private double openParts;
  private double rate = Double.POSITIVE_INFINITY;
  private double delivered;
  private double best;
  private double deliveredNow;
  private double admittedNow;
  private int ends;
  private int late;
  private double stepAt = Double.NaN;
  private boolean probing = true;

  /** Steps in which something was delivered, up to those that count as first. */
  private int steps;

  /** {@code wanted}: the shortest wanted time of any class, ms. */
  CapacityEstimate(double wanted) {
    this.wanted = wanted;
  }

  double rate() {
    return rate;
  }

  /** Standard parts a second that were delivered of late. */
  double delivered() {
    return delivered;
  }

  /** Whether most of what is open is on its way to be late: nothing is to be lent then. */
  boolean crowded() {
    double oldShare = steps < FIRST_STEPS ? OLD_SHARE_FIRST : OLD_SHARE;
    return open >= LEAST_OPEN && old > oldShare * open && waits(CROWDED);
  }

  /**
   * Whether what is open takes longer than such a share of the wanted time at the best that was
   * delivered.
   */
  private boolean waits(double share) {
    return openParts > share * wanted / 1000 * best;
  }

  /** So much was delivered. */
  void delivered(double amount) {
    deliveredNow += amount;
  }

  /** A query was let in. */
  void admitted(UsageCharge charge) {
    admittedNow += charge.booked;
    open++;
    openParts += charge.booked;
    young.add(charge);
  }

  /** A query is over. */
  void over(UsageCharge charge, boolean inTime) {
    open--;
    openParts = open == 0 ? 0 : openParts - charge.booked;
    old -= charge.old ? 1 : 0;
    ended(inTime);
  }

  /** An attempt or a query has ended, within its time or not. */
  void ended(boolean inTime) {
    ends++;
    late += inTime ? 0 : 1;
  }

  /** Moves time on; true where the rate has changed. */
  boolean at(double now) {
    while (!young.isEmpty() && now >= young.peek().since + OLD_AFTER * wanted) {
      UsageCharge charge = young.poll();
      charge.old = !charge.over;
      old += charge.old ? 1 : 0;
    }
    if (Double.isNaN(stepAt)) {
      stepAt = now;
    }
    double passed = now - stepAt;
    // The first sign of scarcity is heeded at once: until then nothing is limited, and what is let
    // in cannot be called back.
    boolean first = !limited() && crowded() && passed > 0;
    if (passed < STEP && !first) {
      return false;
    }
    stepAt = now;
    double perSecond = 1000 / passed;
    // The first figure stands for itself: smoothed from nothing it would tell a start that it can
    // do next to nothing.
    double weight = delivered == 0 ? 1 : Math.min(1, passed / SMOOTHED);
    delivered += weight * (deliveredNow * perSecond - delivered);
    best = Math.max(best, delivered);
    steps += deliveredNow > 0 && steps < FIRST_STEPS ? 1 : 0;
    double before = rate;
    decide(admittedNow * perSecond);
    ends = 0;
    late = 0;
    deliveredNow = 0;
    admittedNow = 0;
    return rate != before;
  }

  private void decide(double admitted) {
    double lateShare = ends < LEAST_ENDS ? 0 : (double) late / ends;
    if (crowded() || lateShare > SCARCE) {
      // Below what is delivered at once: what waits already has to be worked off as well.
      probing &= rate == Double.POSITIVE_INFINITY || rate < best;
      double fallen = limited() ? FALL * Math.min(rate, delivered) : best;
      rate = Math.min(rate, fallen);
      best *= BEST_LEFT;
    } else if (limited() && lateShare < AMPLE && !waits(ROOMY) && admitted > WANTED * rate) {
      double rise = probing ? RISE_FIRST : rate < NEAR * best ? RISE : RISE_NEAR;
      rate = Math.max(rate, Math.min(rise * rate, (probing ? MOST_AT_FIRST : MOST_OF_BEST) * best));
    }
    // What was delivered can be delivered: guards against seconds lost on the way back up from a
    // fall at a bad moment.
    rate = Math.max(rate, Math.max(LEAST, LEAST_OF_BEST * best));
  }

  private boolean limited() {
    return rate != Double.POSITIVE_INFINITY;
  }
}
