package bitternpulley.contracts;

import java.util.ArrayDeque;

/**
 * The number of pending queries, their estimated work, and the number of lagging queries: those
 * that have been pending for so long that they are likely to be late.
 */
final class PendingWork {
  private final double laggingAfterMs;

  /** Charges of queries that are not lagging yet, oldest first; some queries may have ended. */
  private final ArrayDeque<UsageCharge> notLagging = new ArrayDeque<>();

  private int queries;
  private int lagging;
  private double estimatedWork;

  /** A query is lagging once it has been pending for {@code laggingAfterMs}. */
  PendingWork(double laggingAfterMs) {
    this.laggingAfterMs = laggingAfterMs;
  }

  int queries() {
    return queries;
  }

  /** The estimated work of the pending queries, in standard parts. */
  double estimatedWork() {
    return estimatedWork;
  }

  /** Whether more than this share of the pending queries is lagging. */
  boolean isLaggingShareAbove(double share) {
    return lagging > share * queries;
  }

  void add(UsageCharge charge) {
    queries++;
    estimatedWork += charge.estimatedWork();
    notLagging.add(charge);
  }

  void remove(UsageCharge charge) {
    queries--;
    estimatedWork = queries == 0 ? 0 : estimatedWork - charge.estimatedWork();
    if (charge.isLagging()) {
      lagging--;
    }
  }

  void advance(double now) {
    while (!notLagging.isEmpty() && now >= notLagging.peek().admittedAt() + laggingAfterMs) {
      if (notLagging.poll().markLaggingIfPending()) {
        lagging++;
      }
    }
  }
}
