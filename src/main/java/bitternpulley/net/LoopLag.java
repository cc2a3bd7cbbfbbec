package bitternpulley.net;

/**
 * How late the loop is with what has come: from when its turns begin and from a beat that is due
 * each {@link #BEAT} ms. A beat that is overdue tells of a turn that was long or of a process that
 * did not run; what came meanwhile lay unread. Guards against answers that are in time by the
 * moment of the read and late for their clients. Pure; times in ms.
 */
final class LoopLag {
  /**
   * Ms between beats, and by which one may be overdue: what goes unnoticed is less than the sum,
   * which lies well below the 50 ms that the protocol adds to each limit.
   */
  static final double BEAT = 25;

  private static final double SLACK = 10;

  /**
   * Ms for which a late turn is remembered: one to two of these, as long as a query may be open.
   */
  private static final double RECENT = 6000;

  /**
   * Ms without a socket's turn after which the sockets are taken to have been waited for: no run of
   * turns pauses so long.
   */
  private static final double IDLE = 5;

  private double socketsSeen;
  private double socketTurnEnded;
  private boolean inSocketTurn;
  private double beatDue = Double.POSITIVE_INFINITY;
  private double looked;
  private double gapFrom;
  private double gap;
  private double gapReadUntil = Double.NEGATIVE_INFINITY;
  private double worst;
  private double worstBefore;
  private double worstSince;

  /** The beat rings. */
  void beat(double now) {
    beatDue = now + BEAT;
  }

  /** A turn begins: whatever lay in the sockets when the one before began was seen by then. */
  void turn(double now) {
    if (now > beatDue + SLACK) {
      double lag = now - looked;
      if (now > gapReadUntil || lag >= gap) {
        // What lay there is read one by one, and that takes a while; as long as it took to pile up,
        // at most.
        gapFrom = now > gapReadUntil ? looked : Math.min(gapFrom, looked);
        gap = lag;
        gapReadUntil = now + lag;
      }
      forget(now);
      worst = Math.max(worst, lag);
    }
    looked = now;
  }

  /**
   * A turn for a socket begins that was last waited for from {@code armed} on. What one look at the
   * sockets found is dealt with in one turn each, and until then there is no other look; none found
   * a socket before it was waited for.
   */
  void socket(double now, double armed) {
    inSocketTurn = true;
    socketsSeen = now - socketTurnEnded > IDLE ? now : Math.max(socketsSeen, armed);
  }

  /** That turn ends. */
  void socketDone(double now) {
    inSocketTurn = false;
    socketTurnEnded = now;
  }

  /**
   * For how many ms what is read now may have lain unread; at most twice the gap in which it did.
   */
  double unread(double now) {
    double behind = inSocketTurn && now - socketsSeen > SLACK + BEAT ? now - socketsSeen : 0;
    return Math.max(behind, now <= gapReadUntil ? Math.min(now - gapFrom, 2 * gap) : 0);
  }

  /** By how many ms turns came late of late, at the worst; 0 where none did. */
  double worst(double now) {
    forget(now);
    return Math.max(worst, worstBefore);
  }

  private void forget(double now) {
    if (now - worstSince > RECENT) {
      worstBefore = now - worstSince > 2 * RECENT ? 0 : worst;
      worst = 0;
      worstSince = now;
    }
  }
}
