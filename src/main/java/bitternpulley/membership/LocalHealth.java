package bitternpulley.membership;

/**
 * The local health score of this instance, from 0 (healthy) to {@link #MAX_SCORE} (Lifeguard's
 * local health multiplier). Missed acks and suspicions against this instance may be caused by a
 * fault of its own; the higher the score, the longer this instance waits before it suspects others
 * or declares them dead.
 */
final class LocalHealth {
  static final int MAX_SCORE = 8;

  /** Intervals of a pause that raise the score as much as one missed ack. */
  private static final double PAUSE_INTERVALS_PER_POINT = 1;

  /** Score at which the probe interval doubles. */
  private static final double INTERVAL_DOUBLING_SCORE = 4.0;

  /** Score at which the time that suspects have to refute doubles. */
  private static final double SUSPICION_DOUBLING_SCORE = 2.0;

  private int score;

  int score() {
    return score;
  }

  /** Factor by which the timeout of probes is multiplied. */
  double timeoutFactor() {
    return 1 + score;
  }

  /**
   * Factor by which the probe interval is multiplied. The factor grows less than that of the
   * timeout, since only answered probes lower the score again.
   */
  double intervalFactor() {
    return 1 + score / INTERVAL_DOUBLING_SCORE;
  }

  /** Factor by which the time that a suspect has to refute is multiplied. */
  double suspicionFactor() {
    return 1 + score / SUSPICION_DOUBLING_SCORE;
  }

  void recordAck() {
    score = Math.max(0, score - 1);
  }

  void recordMissedAck() {
    raise(1);
  }

  /** Records that others suspected this instance, so it was slow to answer them. */
  void recordRefutation() {
    raise(1);
  }

  void recordPause(double ms, double interval) {
    raise((int) Math.min(MAX_SCORE, ms / (PAUSE_INTERVALS_PER_POINT * interval)));
  }

  private void raise(int increment) {
    score = Math.min(MAX_SCORE, score + increment);
  }
}
