package bitternpulley.contracts;

import java.util.ArrayDeque;

/**
 * The admitted queries that are pending, their work, and how many of them lag: have been pending
 * for so long that they are likely to be late.
 */
final class PendingWork {
  private final double laggingAfterMs;

  /** Charges that do not lag yet, oldest first; some may have ended. */
  private final ArrayDeque<UsageCharge> recent = new ArrayDeque<>();

  private int queries;
  private int lagging;
  private double parts;

  /** Queries lag that are pending for {@code laggingAfterMs}. */
  PendingWork(double laggingAfterMs) {
    this.laggingAfterMs = laggingAfterMs;
  }

  int queries() {
    return queries;
  }

  /** Standard parts, by estimate. */
  double parts() {
    return parts;
  }

  /** Whether more than a share of the pending queries lag. */
  boolean isMoreLaggingThan(double share) {
    return lagging > share * queries;
  }

  void add(UsageCharge charge) {
    queries++;
    parts += charge.booked();
    recent.add(charge);
  }

  void remove(UsageCharge charge) {
    queries--;
    parts = queries == 0 ? 0 : parts - charge.booked();
    if (charge.isLagging()) {
      lagging--;
    }
  }

  void advance(double now) {
    while (!recent.isEmpty() && now >= recent.peek().admittedAt() + laggingAfterMs) {
      if (recent.poll().markLaggingIfPending()) {
        lagging++;
      }
    }
  }
}
