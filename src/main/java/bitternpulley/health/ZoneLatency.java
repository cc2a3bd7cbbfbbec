package bitternpulley.health;

/**
 * What is known of the network path to the servers of one zone: the latency of parts, the share
 * that is late, the share of new connections that fail.
 */
public final class ZoneLatency {
  /** Weight of a new latency. */
  private static final double SMOOTHING = 0.05;

  /** Weight of a part that was late or in time. */
  private static final double LATE_SMOOTHING = 0.1;

  /** Multiple of the smoothed latency that one answer counts as, at most. */
  private static final double MAX_LATENCY_MULTIPLE = 4;

  /** Upper bound of the share of parts that counts as late. */
  private static final double MAX_LATE_SHARE = 0.8;

  /** Share of failed new connections up to which new connections are opened. */
  private static final double MAX_CONNECTION_FAILURE_SHARE = 0.25;

  /** Weight of one new connection. */
  private static final double CONNECTION_SMOOTHING = 0.15;

  /** Share of the connection failures that each part sent forgets. */
  private static final double CONNECTION_DECAY = 0.02;

  private double latency;
  private boolean isMeasured;
  private double lateShare;
  private double connectionFailureShare;

  /** A zone of which nothing is known but an assumed latency in ms. */
  public ZoneLatency(double assumedLatency) {
    this.latency = assumedLatency;
  }

  /** The smoothed latency in ms, or the assumed one before the first answer. */
  public double latency() {
    return latency;
  }

  /** The smoothed latency in ms, or infinity before the first answer. */
  public double measuredLatency() {
    return isMeasured ? latency : Double.POSITIVE_INFINITY;
  }

  /** Records the latency of a part in ms; a single outlier hardly changes the smoothed one. */
  public void recordLatency(double measured) {
    latency += SMOOTHING * (Math.min(measured, MAX_LATENCY_MULTIPLE * latency) - latency);
    isMeasured = true;
  }

  /** Records a part as soon as it is late, before its attempt ends. */
  public void recordLate() {
    lateShare += LATE_SMOOTHING * (1 - lateShare);
  }

  /** Records an answer that was not late. */
  public void recordInTime() {
    lateShare *= 1 - LATE_SMOOTHING;
  }

  /** The share of parts that arrive in time, at least a fifth. */
  public double inTimeShare() {
    return 1 - Math.min(lateShare, MAX_LATE_SHARE);
  }

  /** Records a new connection that was established. */
  public void recordConnectionEstablished() {
    recordConnection(0);
  }

  /** Records a new connection that could not be established in time. */
  public void recordConnectionFailed() {
    recordConnection(1);
  }

  private void recordConnection(double failure) {
    connectionFailureShare += CONNECTION_SMOOTHING * (failure - connectionFailureShare);
  }

  /**
   * Whether a part may be sent over a new connection. Each call counts as a part sent and lets the
   * record of failed connections decay.
   */
  public boolean admitNewConnection() {
    boolean isReliable = connectionFailureShare <= MAX_CONNECTION_FAILURE_SHARE;
    connectionFailureShare *= 1 - CONNECTION_DECAY;
    return isReliable;
  }
}
