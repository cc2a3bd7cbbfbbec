package bitternpulley.net;

/**
 * Measures how late the event loop handles what has arrived, from the start times of its turns and
 * from a tick that is due every {@link #TICK_INTERVAL_MS}. An overdue tick shows that a turn took
 * long or that the process was stopped, and that bytes which arrived meanwhile lay unread: a
 * response that is in time by the moment of the read may be late for its client. Pure; all times in
 * ms.
 */
final class EventLoopLag {
  /**
   * Interval of the tick, and the time by which it may be overdue unnoticed. Lag below the sum of
   * the two is not seen; the sum is well below the 50 ms that the protocol adds to each limit.
   */
  static final double TICK_INTERVAL_MS = 25;

  private static final double TICK_TOLERANCE_MS = 10;

  /** A late turn is remembered for one to two of these, which is as long as a query may be open. */
  private static final double WORST_LAG_WINDOW_MS = 6000;

  /**
   * Time without a socket turn after which the loop must have waited for its sockets: consecutive
   * turns never pause that long.
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
  private double worst;
  private double worstOfPreviousWindow;
  private double windowStart;

  /** Records a tick; the next one is due an interval later. */
  void tick(double now) {
    nextTickDue = now + TICK_INTERVAL_MS;
  }

  /**
   * Records the start of a turn: what arrived before the previous turn was seen by then. Returns
   * its lag in ms, which leaves a backlog of unread bytes; 0 where it is not late.
   */
  double turnStarted(double now) {
    double lag = now > nextTickDue + TICK_TOLERANCE_MS ? now - lastTurnAt : 0;
    if (lag > 0) {
      if (now > gapReadUntil || lag >= gapMs) {
        // The backlog of a gap is read one socket at a time, which takes at most as long as the
        // gap itself, unless it is known to be read earlier.
        gapStart = now > gapReadUntil ? lastTurnAt : Math.min(gapStart, lastTurnAt);
        gapMs = lag;
        gapReadUntil = now + lag;
      }
      rotateWindow(now);
      worst = Math.max(worst, lag);
    }
    lastTurnAt = now;
    return lag;
  }

  /** Records that all has been read that arrived before the last late turn. */
  void backlogRead() {
    gapReadUntil = Double.NEGATIVE_INFINITY;
  }

  /**
   * Records the start of a turn for a socket whose read was armed at {@code armedAt}. The results
   * of one poll are handled in one turn each with no other poll in between, and a poll finds only
   * sockets that were armed before it.
   */
  void socketTurnStarted(double now, double armedAt) {
    inSocketTurn = true;
    lastPollAt = now - socketTurnEndedAt > IDLE_GAP_MS ? now : Math.max(lastPollAt, armedAt);
  }

  /** Records the end of a socket turn. */
  void socketTurnEnded(double now) {
    inSocketTurn = false;
    socketTurnEndedAt = now;
  }

  /**
   * Returns for how many ms bytes that are read now may have lain unread; at most twice the gap in
   * which they arrived.
   */
  double unreadMs(double now) {
    double sincePoll =
        inSocketTurn && now - lastPollAt > TICK_TOLERANCE_MS + TICK_INTERVAL_MS
            ? now - lastPollAt
            : 0;
    return Math.max(sincePoll, now <= gapReadUntil ? Math.min(now - gapStart, 2 * gapMs) : 0);
  }

  /** Returns the worst lag in ms of the last seconds; 0 when no turn was late. */
  double worstLagMs(double now) {
    rotateWindow(now);
    return Math.max(worst, worstOfPreviousWindow);
  }

  private void rotateWindow(double now) {
    if (now - windowStart > WORST_LAG_WINDOW_MS) {
      worstOfPreviousWindow = now - windowStart > 2 * WORST_LAG_WINDOW_MS ? 0 : worst;
      worst = 0;
      windowStart = now;
    }
  }
}
