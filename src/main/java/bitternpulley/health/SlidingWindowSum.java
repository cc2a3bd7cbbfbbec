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

  /** Adds an amount; {@code now} must not decrease from call to call. */
  public void add(double now, double amount) {
    entries.addLast(new Entry(now, amount));
    sum += amount;
  }

  /** The sum of the amounts in the window that ends at {@code now}, both ends included. */
  public double sum(double now) {
    while (!entries.isEmpty() && entries.peekFirst().time < now - windowMs) {
      sum -= entries.pollFirst().amount;
    }
    if (entries.isEmpty()) {
      // Prevents rounding errors from accumulating.
      sum = 0;
    }
    return sum;
  }

  /** The sum at {@code laterTime} if nothing is added until then. */
  public double projectedSum(double laterTime) {
    double remainingSum = 0;
    for (Entry entry : entries) {
      remainingSum += entry.time < laterTime - windowMs ? 0 : entry.amount;
    }
    return remainingSum;
  }
}
