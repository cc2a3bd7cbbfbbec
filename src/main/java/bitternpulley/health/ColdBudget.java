package bitternpulley.health;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;

/**
 * What one instance may send a server that has just started. All instances together send no more
 * work in any of the rules' windows than the server is sure to bear: each has an even share of
 * that, and where a share is less than one part, the parts that the server bears are dealt out one
 * by one to the instances in the order of their numbers, as turns. Nothing is agreed: the turns
 * follow from the settings and from the time of the server's start, which all are told. Times in
 * ms, work in ms of one core.
 */
public final class ColdBudget {
  /** Share of the budget for parts that can wait. */
  private static final double LOW = 0.7;

  /** Looks a window at when the budget opens: it does so as windows pass, or as a turn comes. */
  private static final int LOOKS = 4;

  private final Settings settings;
  private final Router.QuotaShare portion;
  private final CoreEstimate cores;
  private final WindowCount sent;
  private double since = Double.NEGATIVE_INFINITY;

  /** One whose instance has an even part, and that knows of one core. */
  public ColdBudget(Settings settings) {
    this(settings, Router.QuotaShare.EVEN, new CoreEstimate());
  }

  /**
   * One whose instance has such a part of what all may send together to servers of so many cores.
   */
  public ColdBudget(Settings settings, Router.QuotaShare portion, CoreEstimate cores) {
    this.settings = settings;
    this.portion = portion;
    this.cores = cores;
    sent = new WindowCount(settings.rules().overloadWindow());
  }

  /** It counts as started then, unless it is known to have started later. */
  public void startedAt(double time) {
    since = Math.max(since, time);
  }

  /** The share of its capacity that it is sure to have, 0 to 1. */
  public double warmth(double now) {
    Settings.Rules rules = settings.rules();
    double age = Math.max(0, now - since);
    return age >= rules.warmupTime()
        ? 1
        : rules.warmupStartFraction()
            + (1 - rules.warmupStartFraction()) * age / rules.warmupTime();
  }

  /** A part of so much work has gone to it. */
  public void sent(double now, double work) {
    sent.add(now, work);
  }

  /**
   * Whether a part of so much work may go to it; {@code share} is this process's of the instance's
   * limits.
   */
  public boolean allows(double work, boolean canWait, double share, double now) {
    return allows(work, canWait, share, now, sent.sum(now), portion.at(now));
  }

  private boolean allows(
      double work, boolean canWait, double share, double at, double spent, double part) {
    Settings.Rules rules = settings.rules();
    double warm = warmth(at);
    if (warm >= 1 || rules.overloadMultiple() <= 0) {
      return true;
    }
    if (part <= 0) {
      return false;
    }
    double rate = share * rules.overloadMultiple() * cores.sure();
    double mine = part * rate * warm * rules.overloadWindow() / settings.instances();
    // Turns go by the numbers configured: those of instances that are away pass unused. Who has an
    // even part or more, as all
    // have that may act, uses no more than that by its turns.
    return spent + work <= mine * (canWait ? LOW : 1)
        || part >= 1 && spent == 0 && work > mine && hasTurn(at - since, rate / work);
  }

  /**
   * Whether one of this instance's turns came within the last window. Turn k comes when the server
   * is sure to have borne k parts since its start, and is that of the instance whose number is k
   * modulo their count; so no window sees more turns come than the server bears parts in it.
   */
  private boolean hasTurn(double age, double partsPerMs) {
    long latest = (long) Math.floor(borne(age, partsPerMs));
    long mine = latest - Math.floorMod(latest - settings.self(), (long) settings.instances());
    double before = age - settings.rules().overloadWindow();
    return mine >= 0 && (before < 0 || mine > borne(before, partsPerMs));
  }

  /**
   * Parts that a server of this age is sure to have borne, at so many per ms when it is warm: the
   * integral of its warmth.
   */
  private double borne(double age, double partsPerMs) {
    Settings.Rules rules = settings.rules();
    return partsPerMs
        * (rules.warmupStartFraction() * age
            + (1 - rules.warmupStartFraction()) * age * age / (2 * rules.warmupTime()));
  }

  /**
   * When it may be sent a part next, should nothing else go there first: infinity where not by
   * {@code until}.
   */
  public double opensAt(double work, boolean canWait, double share, double now, double until) {
    double step = settings.rules().overloadWindow() / LOOKS;
    double part = portion.at(now);
    for (double at = now; at <= until; at += step) {
      if (allows(work, canWait, share, at, sent.sumAt(at), part)) {
        return at;
      }
    }
    return Double.POSITIVE_INFINITY;
  }
}
