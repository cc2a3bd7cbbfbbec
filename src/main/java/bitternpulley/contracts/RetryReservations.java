package bitternpulley.contracts;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Those that were told when to come back, with the place that each is kept. One promise a place,
 * and one a caller: whoever comes back early is told the rest of the same time. A place is kept for
 * {@link #GRACE} ms beyond its time, then it lapses.
 */
final class RetryReservations {
  /**
   * Ms for which a place is kept beyond its time: a client's clock, way and connection take some of
   * it.
   */
  static final double GRACE = 300;

  /**
   * Ms before its time from which a caller counts as in time: the time it was told was rounded on
   * its way.
   */
  private static final double EARLY = 5;

  /** Promises that one team can hold; beyond, its clients are told no time. */
  private static final int MOST = 256;

  private static final class Promise {
    final long print;
    final double at;
    final double cost;
    boolean open = true;

    Promise(long print, double at, double cost) {
      this.print = print;
      this.at = at;
      this.cost = cost;
    }
  }

  private final ArrayDeque<Promise> inOrder = new ArrayDeque<>();
  private final Map<Long, Promise> byPrint = new HashMap<>();
  private double kept;

  /** Standard parts kept for those who have not come back yet. */
  double kept(double now) {
    while (!inOrder.isEmpty() && (!inOrder.peek().open || now > inOrder.peek().at + GRACE)) {
      close(inOrder.poll());
    }
    return kept;
  }

  boolean isEmpty() {
    return inOrder.isEmpty();
  }

  int open() {
    return byPrint.size();
  }

  /**
   * Ms until a caller's time, 0 or less where it has come, or NaN where it was promised nothing.
   */
  double left(long print, double now) {
    Promise p = print == 0 ? null : byPrint.get(print);
    return p == null ? Double.NaN : p.at - EARLY - now;
  }

  /** The caller's place is used up. */
  void claim(long print) {
    close(byPrint.get(print));
  }

  /**
   * Keeps a place from a time on, no earlier than those promised before; false where there is no
   * room for one more.
   */
  boolean add(long print, double at, double cost) {
    if (byPrint.size() >= MOST || print == 0) {
      return false;
    }
    Promise p = new Promise(print, at, cost);
    inOrder.add(p);
    byPrint.put(print, p);
    kept += cost;
    return true;
  }

  private void close(Promise p) {
    if (p.open) {
      p.open = false;
      byPrint.remove(p.print, p);
      kept = byPrint.isEmpty() ? 0 : kept - p.cost;
    }
  }
}
