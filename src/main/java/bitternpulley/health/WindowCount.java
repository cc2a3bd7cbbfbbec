package bitternpulley.health;

import java.util.ArrayDeque;

/** Amounts counted over a sliding window; holds no decision. */
public final class WindowCount {
  private final double span;
  private final ArrayDeque<double[]> entries = new ArrayDeque<>();
  private double sum;

  public WindowCount(double span) {
    this.span = span;
  }

  public void add(double now, double amount) {
    entries.addLast(new double[] {now, amount});
    sum += amount;
  }

  /** The sum of what was added within the last span, its far edge included. */
  public double sum(double now) {
    while (!entries.isEmpty() && entries.peekFirst()[0] < now - span) {
      sum -= entries.pollFirst()[1];
    }
    return entries.isEmpty() ? sum = 0 : sum;
  }

  /** What the sum will be at a later time if nothing is added until then. */
  public double sumAt(double later) {
    double left = 0;
    for (double[] e : entries) {
      left += e[0] < later - span ? 0 : e[1];
    }
    return left;
  }
}
