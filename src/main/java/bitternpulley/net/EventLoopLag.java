package bitternpulley.net;

/**
 * Measures how late the event loop handles input, from the start times of its turns and from a tick
 * that is due every {@link #TICK_INTERVAL_MS}. An overdue tick shows that a turn took long or that
 * the process was stopped, and that bytes that arrived meanwhile were not read: a response that is
 * in time as counted from the read may be too late for its client. Performs no I/O and reads no
 * clock; all times in ms.
 */
final class EventLoopLag {
  /**
   * Interval of the tick. Lag below the sum of this interval and {@link #TICK_TOLERANCE_MS} is not
   * detected; the sum is well below the 50 ms that the protocol adds to each limit.
   */
  static final double TICK_INTERVAL_MS = 25;

  /** Time by which a tick may be overdue without counting as lag. */
  private static final double TICK_TOLERANCE_MS = 10;

  /** A late turn counts for one to two windows, which is as long as a query may be open. */
  private static final double WORST_LAG_WINDOW_MS = 6000;

  /**
   * Time without a socket turn after which the loop must have waited for its sockets: the time
   * between consecutive turns is always shorter.
   */
  private static final double IDLE_GAP_MS = 5;

  /** Earliest possible time of the last poll of the sockets. */
  private double lastPollAt;

  private double socketTurnEndedAt;
  private boolean inSocketTurn;
  private double nextTickDue = Double.POSITIVE_INFINITY;
  private double lastTurnAt;

  /** Start of the last gap, which is the time between a late turn and the turn before it. */
  private double gapStart;

  private double gapMs;

  /** Time by which all bytes that arrived in the last gap have been read. */
  private double gapReadUntil = Double.NEGATIVE_INFINITY;

  private double worstInWindow;
  private double worstInPreviousWindow;
  private double windowStart;

  /** Records a tick; the next one is due an interval later. */
  void tick(double now) {
    nextTickDue = now + TICK_INTERVAL_MS;
  }

  /**
   * Records the start of a turn and returns its lag in ms, or 0 if the turn is not late. The lag
   * counts from the previous turn, as input that arrived before that turn was seen by then. A late
   * turn leaves a backlog of unread bytes.
   */
  double turnStarted(double now) {
    double lag = now > nextTickDue + TICK_TOLERANCE_MS ? now - lastTurnAt : 0;
    if (lag > 0) {
      if (now > gapReadUntil || lag >= gapMs) {
        // The backlog of a gap is read one socket at a time, which takes at most as long as the
        // gap itself; backlogRead() reports when it is read earlier.
        gapStart = now > gapReadUntil ? lastTurnAt : Math.min(gapStart, lastTurnAt);
        gapMs = lag;
        gapReadUntil = now + lag;
      }
      rotateWindow(now);
      worstInWindow = Math.max(worstInWindow, lag);
    }
    lastTurnAt = now;
    return lag;
  }

  /** Records that everything that arrived before the last late turn has been read. */
  void backlogRead() {
    gapReadUntil = Double.NEGATIVE_INFINITY;
  }

  /**
   * Records the start of a turn for a socket operation that was armed at {@code armedAt}. The
   * results of one poll are handled in one turn each, with no other poll in between, and a poll
   * finds only sockets that were armed before it.
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
   * Returns the time in ms that bytes read now may have waited to be read. This is the longer of
   * the time since the last poll, if the current socket turn runs late, and the time since the
   * start of the last gap, at most twice the gap, while the bytes that arrived in it are read.
   */
  double unreadMs(double now) {
    double sincePoll =
        inSocketTurn && now - lastPollAt > TICK_TOLERANCE_MS + TICK_INTERVAL_MS
            ? now - lastPollAt
            : 0;
    return Math.max(sincePoll, now <= gapReadUntil ? Math.min(now - gapStart, 2 * gapMs) : 0);
  }

  /** Returns the worst lag in ms of the last 6 to 12 s; 0 when no turn was late. */
  double worstLagMs(double now) {
    rotateWindow(now);
    return Math.max(worstInWindow, worstInPreviousWindow);
  }

  private void rotateWindow(double now) {
    if (now - windowStart > WORST_LAG_WINDOW_MS) {
      worstInPreviousWindow = now - windowStart > 2 * WORST_LAG_WINDOW_MS ? 0 : worstInWindow;
      worstInWindow = 0;
      windowStart = now;
    }
  }
}
