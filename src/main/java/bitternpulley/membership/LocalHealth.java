package bitternpulley.membership;

/**
 * How far this instance doubts itself: 0 where it is healthy, up to {@link #MAX_SCORE} (Lifeguard's
 * local health multiplier). Missed acks and refuted suspicions may be its own fault; the higher the
 * score, the longer it waits before it blames others.
 */
final class LocalHealth {
  static final int MAX_SCORE = 8;

  /** Intervals of a pause that count as one missed ack. */
  private static final double INTERVALS_PER_SCORE = 1;

  /** Score at which the probe interval doubles. */
  private static final double INTERVAL_DOUBLING_SCORE = 4.0;

  /** Score at which the time that suspects have doubles. */
  private static final double SUSPICION_DOUBLING_SCORE = 2.0;

  private int score;

  int score() {
    return score;
  }

  /** Factor of the time that probes wait for an answer. */
  double timeoutFactor() {
    return 1 + score;
  }

  /**
   * Factor of the probe interval. It grows less than the time-out, since only answered probes lower
   * the score again.
   */
  double intervalFactor() {
    return 1 + score / INTERVAL_DOUBLING_SCORE;
  }

  /** Factor of the time that a suspect has to refute. */
  double suspicionFactor() {
    return 1 + score / SUSPICION_DOUBLING_SCORE;
  }

  void recordAck() {
    score = Math.max(0, score - 1);
  }

  void recordMissedAck() {
    raise(1);
  }

  /** Others suspected this instance, so it was slow to answer them. */
  void recordRefutation() {
    raise(1);
  }

  void recordPause(double ms, double interval) {
    raise((int) Math.min(MAX_SCORE, ms / (INTERVALS_PER_SCORE * interval)));
  }

  private void raise(int increment) {
    score = Math.min(MAX_SCORE, score + increment);
  }
}
