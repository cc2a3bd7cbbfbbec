package bitternpulley.membership;

/**
 * How far an instance trusts itself: 0 where it is well, up to {@link #MOST} (Lifeguard's local
 * health multiplier). What it fails at, and what others hold against it, may be its own fault; then
 * it waits longer before it blames anybody.
 */
final class LocalHealth {
  static final int MOST = 8;

  /** Each so many intervals that an instance did not run count as a failure of its own. */
  private static final double PAUSE_INTERVALS = 1;

  private int score;

  int score() {
    return score;
  }

  /** Times as long that its probes wait for an answer. */
  double stretch() {
    return 1 + score;
  }

  /**
   * Times as long until its next probe: less than it waits, as only by answers does it come to
   * trust itself again.
   */
  double pace() {
    return 1 + score / 4.0;
  }

  /** Times as long that a suspect has before this instance believes what it sees. */
  double patience() {
    return 1 + score / 2.0;
  }

  void answered() {
    score = Math.max(0, score - 1);
  }

  void unanswered() {
    raise(1);
  }

  /** It had to refute what others held of it. */
  void accused() {
    raise(1);
  }

  void paused(double ms, double interval) {
    raise((int) Math.min(MOST, ms / (PAUSE_INTERVALS * interval)));
  }

  private void raise(int by) {
    score = Math.min(MOST, score + by);
  }
}
