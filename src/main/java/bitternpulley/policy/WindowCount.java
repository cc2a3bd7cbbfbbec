package bitternpulley.policy;

import java.util.ArrayDeque;

/** Amounts counted over a sliding window; holds no decision. */
final class WindowCount {
  private final double span;
  private final ArrayDeque<double[]> entries = new ArrayDeque<>();
  private double sum;

  WindowCount(double span) {
    this.span = span;
  }

  void add(double now, double amount) {
    entries.addLast(new double[] {now, amount});
    sum += amount;
  }

  /** Takes back the latest entry of this amount, if one is still in the window. */
  void takeBack(double time, double amount) {
    if (entries.removeIf(e -> e[0] == time && e[1] == amount)) {
      sum = entries.stream().mapToDouble(e -> e[1]).sum();
    }
  }

  /** The sum of what was added within the last span, its far edge included. */
  double sum(double now) {
    while (!entries.isEmpty() && entries.peekFirst()[0] < now - span) {
      sum -= entries.pollFirst()[1];
    }
    return entries.isEmpty() ? sum = 0 : sum;
  }
}
