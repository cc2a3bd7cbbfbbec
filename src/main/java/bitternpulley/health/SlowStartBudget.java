package bitternpulley.health;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;

/**
 * Limits the work that one instance may send to a server that has just started. All instances
 * together send no more work in any overload window than the server is certain to complete. Each
 * instance has an even share of that work. Where a share is less than one part, the instances take
 * turns: the parts that the server can complete are assigned to the instances one at a time, in the
 * order of the instance numbers. The turns need no coordination, since they follow from the
 * settings and from the server's start time, which every instance receives. Times are in ms, work
 * is in ms of one core.
 */
public final class SlowStartBudget {
  /** Share of the budget available to deferrable parts. */
  private static final double DEFERRABLE_SHARE = 0.7;

  /** Number of steps per overload window in the search for the next permitted time. */
  private static final int SEARCH_STEPS_PER_WINDOW = 4;

  private final Settings settings;
  private final Router.QuotaShare quota;
  private final CoreEstimate cores;
  private final SlidingWindowSum sentWork;
  private double startedAt = Double.NEGATIVE_INFINITY;

  /** A budget with an even quota for a server with one core. */
  public SlowStartBudget(Settings settings) {
    this(settings, Router.QuotaShare.EVEN, new CoreEstimate());
  }

  /**
   * A budget with a given quota.
   *
   * @param quota this instance's quota of the work that all instances together may send
   * @param cores the estimate of a server's cores, shared by the budgets of all servers
   */
  public SlowStartBudget(Settings settings, Router.QuotaShare quota, CoreEstimate cores) {
    this.settings = settings;
    this.quota = quota;
    this.cores = cores;
    sentWork = new SlidingWindowSum(settings.rules().overloadWindow());
  }

  /** Records that the server started at {@code time}, unless a later start is known. */
  public void recordStart(double time) {
    startedAt = Math.max(startedAt, time);
  }

  /** The share of its full capacity that the server certainly has, from 0 to 1. */
  public double warmupFraction(double now) {
    Settings.Rules rules = settings.rules();
    double age = Math.max(0, now - startedAt);
    return age >= rules.warmupTime()
        ? 1
        : rules.warmupStartFraction()
            + (1 - rules.warmupStartFraction()) * age / rules.warmupTime();
  }

  /** Records that a part with this work was sent to the server. */
  public void recordSent(double now, double work) {
    sentWork.add(now, work);
  }

  /**
   * Whether a part may be sent to the server now.
   *
   * @param work the part's work in ms of one core
   * @param processShare this process's share of the instance's limits, from 0 to 1
   */
  public boolean allows(double work, PartPriority priority, double processShare, double now) {
    return allows(work, priority, processShare, now, sentWork.sum(now), quota.multipleAt(now));
  }

  private boolean allows(
      double work,
      PartPriority priority,
      double processShare,
      double time,
      double alreadySent,
      double quotaShare) {
    Settings.Rules rules = settings.rules();
    double warmup = warmupFraction(time);
    if (warmup >= 1 || rules.overloadMultiple() <= 0) {
      return true;
    }
    if (quotaShare <= 0) {
      return false;
    }
    double permittedRate = processShare * rules.overloadMultiple() * cores.minimumCapacity();
    double ownBudget =
        quotaShare * permittedRate * warmup * rules.overloadWindow() / settings.instances();
    if (alreadySent + work
        <= ownBudget * (priority == PartPriority.DEFERRABLE ? DEFERRABLE_SHARE : 1)) {
      return true;
    }
    // Turns are assigned by configured instance number, so the turns of absent instances stay
    // unused. An instance with at least an even quota exceeds no limit by taking its own turns.
    return quotaShare >= 1
        && alreadySent == 0
        && work > ownBudget
        && hasTurn(time - startedAt, permittedRate / work);
  }

  /**
   * Whether one of this instance's turns began within the last window. Turn k begins when the
   * server is certain to have completed k parts since its start, and belongs to the instance whose
   * number is k modulo the number of instances. Therefore no window contains more turns than the
   * server completes parts in it.
   */
  private boolean hasTurn(double age, double partsPerMs) {
    long latestTurn = (long) Math.floor(completedParts(age, partsPerMs));
    long ownTurn =
        latestTurn - Math.floorMod(latestTurn - settings.selfIndex(), (long) settings.instances());
    double windowStart = age - settings.rules().overloadWindow();
    return ownTurn >= 0 && (windowStart < 0 || ownTurn > completedParts(windowStart, partsPerMs));
  }

  /**
   * The number of parts that a server of this age is certain to have completed: its rate when warm,
   * multiplied by the integral of its warm-up fraction.
   */
  private double completedParts(double age, double partsPerMs) {
    Settings.Rules rules = settings.rules();
    return partsPerMs
        * (rules.warmupStartFraction() * age
            + (1 - rules.warmupStartFraction()) * age * age / (2 * rules.warmupTime()));
  }

  /**
   * The next time at which a part may be sent, if nothing else is sent to the server before it.
   *
   * @return a time not before {@code now}, or infinity if no time up to {@code until} is permitted
   */
  public double nextAllowedAt(
      double work, PartPriority priority, double processShare, double now, double until) {
    double step = settings.rules().overloadWindow() / SEARCH_STEPS_PER_WINDOW;
    double quotaShare = quota.multipleAt(now);
    for (double time = now; time <= until; time += step) {
      if (allows(work, priority, processShare, time, sentWork.projectedSum(time), quotaShare)) {
        return time;
      }
    }
    return Double.POSITIVE_INFINITY;
  }
}
