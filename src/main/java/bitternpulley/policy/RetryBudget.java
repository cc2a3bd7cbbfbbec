package bitternpulley.policy;

import bitternpulley.health.SlidingWindowSum;
import bitternpulley.routing.Settings;

/** Limits retries and hedged requests to a share of the requests within a sliding window. */
final class RetryBudget {
  /**
   * Share of the budget that hedged requests may use; the rest is reserved for parts without an
   * attempt in flight.
   */
  private static final double HEDGING_SHARE = 0.7;

  private final Settings.Rules rules;
  private final SlidingWindowSum requests;
  private final SlidingWindowSum retries;

  /**
   * Requests are counted over a window that is one tick shorter, and retries over one that is one
   * tick longer, so that the budget is never exceeded because of rounded times.
   */
  RetryBudget(Settings settings) {
    rules = settings.rules();
    requests = new SlidingWindowSum(rules.retryBudgetWindow() - settings.tick());
    retries = new SlidingWindowSum(rules.retryBudgetWindow() + settings.tick());
  }

  /** Records a query or a part received. */
  void recordRequest(double now) {
    requests.add(now, 1);
  }

  /** Records an attempt beyond a part's first. */
  void recordRetry(double now) {
    retries.add(now, 1);
  }

  /** Whether a part without an attempt in flight may be sent again. */
  boolean allowsRetry(double now) {
    return !rules.retriesBudgeted() || isWithin(1, now);
  }

  /** Whether a part with an attempt in flight may be sent again. */
  boolean allowsHedge(double now) {
    return !rules.retriesBudgeted() || isWithin(HEDGING_SHARE, now);
  }

  private boolean isWithin(double share, double now) {
    double allowed = rules.retryBudgetFloor() + rules.retryBudgetShare() * requests.sum(now);
    return retries.sum(now) + 1 <= allowed * share;
  }
}
