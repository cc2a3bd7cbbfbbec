package bitternpulley.health;

import java.util.ArrayDeque;

/** Sum of the amounts added within a sliding time window. */
public final class SlidingWindowSum {
  private record Entry(double time, double amount) {}

  private final double windowMs;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private double sum;

  /** An empty window of this length in ms. */
  public SlidingWindowSum(double windowMs) {
    this.windowMs = windowMs;
  }

  /** Adds an amount; times do not decrease from call to call. */
  public void add(double now, double amount) {
    entries.addLast(new Entry(now, amount));
    sum += amount;
  }

  /** The sum of what was added within the window that ends now, both ends included. */
  public double sum(double now) {
    while (!entries.isEmpty() && entries.peekFirst().time < now - windowMs) {
      sum -= entries.pollFirst().amount;
    }
    if (entries.isEmpty()) {
      // Differences of rounding must not accumulate.
      sum = 0;
    }
    return sum;
  }

  /** The sum at a later time if nothing is added until then. */
  public double sumAt(double later) {
    double remaining = 0;
    for (Entry entry : entries) {
      remaining += entry.time < later - windowMs ? 0 : entry.amount;
    }
    return remaining;
  }
}
