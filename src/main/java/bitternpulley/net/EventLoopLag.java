package bitternpulley.net;

/**
 * How late the loop is with what has come: from when its turns begin and from a beat that is due
 * each {@link #TICK_INTERVAL_MS} ms. A beat that is overdue tells of a turn that was long or of a
 * process that did not run; what came meanwhile lay unread. Guards against answers that are in time
 * by the moment of the read and late for their clients. Pure; times in ms.
 */
final class EventLoopLag {
  /**
   * Ms between beats, and by which one may be overdue: what goes unnoticed is less than the sum,
   * which lies well below the 50 ms that the protocol adds to each limit.
   */
  static final double TICK_INTERVAL_MS = 25;

  private static final double TICK_TOLERANCE_MS = 10;

  /**
   * Ms for which a late turn is remembered: one to two of these, as long as a query may be open.
   */
  private static final double WORST_LAG_WINDOW_MS = 6000;

  /**
   * Ms without a socket's turn after which the sockets are taken to have been waited for: no run of
   * turns pauses so long.
   */
  private static final double IDLE_GAP_MS = 5;

  private double lastPollAt;
  private double socketTurnEndedAt;
  private boolean inSocketTurn;
  private double nextTickDue = Double.POSITIVE_INFINITY;
  private double lastTurnAt;
  private double gapStart;
  private double gapMs;
  private double gapReadUntil = Double.NEGATIVE_INFINITY;
  private double worstLagMs;
  private double worstOfPreviousWindow;
  private double windowStart;

  /** The beat rings. */
  void tick(double now) {
    nextTickDue = now + TICK_INTERVAL_MS;
  }

  /** A turn begins: whatever lay in the sockets when the one before began was seen by then. */
  void turnStarted(double now) {
    if (now > nextTickDue + TICK_TOLERANCE_MS) {
      double lag = now - lastTurnAt;
      if (now > gapReadUntil || lag >= gapMs) {
        // What lay there is read one by one, and that takes a while; as long as it took to pile up,
        // at most.
        gapStart = now > gapReadUntil ? lastTurnAt : Math.min(gapStart, lastTurnAt);
        gapMs = lag;
        gapReadUntil = now + lag;
      }
      rotateWindow(now);
      worstLagMs = Math.max(worstLagMs, lag);
    }
    lastTurnAt = now;
  }

  /**
   * A turn for a socket begins that was last waited for from {@code armed} on. What one look at the
   * sockets found is dealt with in one turn each, and until then there is no other look; none found
   * a socket before it was waited for.
   */
  void socketTurnStarted(double now, double armed) {
    inSocketTurn = true;
    lastPollAt = now - socketTurnEndedAt > IDLE_GAP_MS ? now : Math.max(lastPollAt, armed);
  }

  /** That turn ends. */
  void socketTurnEnded(double now) {
    inSocketTurn = false;
    socketTurnEndedAt = now;
  }

  /**
   * For how many ms what is read now may have lain unread; at most twice the gap in which it did.
   */
  double unreadMs(double now) {
    double behind =
        inSocketTurn && now - lastPollAt > TICK_TOLERANCE_MS + TICK_INTERVAL_MS
            ? now - lastPollAt
            : 0;
    return Math.max(behind, now <= gapReadUntil ? Math.min(now - gapStart, 2 * gapMs) : 0);
  }

  /** By how many ms turns came late of late, at the worst; 0 where none did. */
  double worstLagMs(double now) {
    rotateWindow(now);
    return Math.max(worstLagMs, worstOfPreviousWindow);
  }

  private void rotateWindow(double now) {
    if (now - windowStart > WORST_LAG_WINDOW_MS) {
      worstOfPreviousWindow = now - windowStart > 2 * WORST_LAG_WINDOW_MS ? 0 : worstLagMs;
      worstLagMs = 0;
      windowStart = now;
    }
  }
}
