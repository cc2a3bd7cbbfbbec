package bitternpulley.health;

/**
 * Measurements of the network path to the servers of one zone: the latency of parts, the share of
 * late parts and the share of new connections that fail.
 */
public final class ZoneLatency {
  /** Weight of a new latency in the smoothed latency. */
  private static final double SMOOTHING = 0.05;

  /** Weight of one part in the share of late parts. */
  private static final double LATE_SMOOTHING = 0.1;

  /** One answer counts as at most this multiple of the smoothed latency. */
  private static final double MAX_LATENCY_MULTIPLE = 4;

  /** Upper bound of the share of late parts in {@link #inTimeShare}. */
  private static final double MAX_LATE_SHARE = 0.8;

  /** Share of failed new connections up to which new connections are opened. */
  private static final double MAX_CONNECTION_FAILURE_SHARE = 0.25;

  /** Weight of one new connection in the share of failed connections. */
  private static final double CONNECTION_SMOOTHING = 0.15;

  /**
   * Fraction by which each call of {@link #admitNewConnection} reduces the share of failed
   * connections, so that new connections are tried again after some time.
   */
  private static final double CONNECTION_DECAY = 0.02;

  private double latency;
  private boolean isMeasured;
  private double lateShare;
  private double connectionFailureShare;

  /** A zone without measurements, with an assumed latency in ms. */
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

  /** Records the latency of a part in ms. A single outlier hardly changes the smoothed latency. */
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

  /** The share of parts that are answered in time, at least a fifth. */
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
   * Whether a part may be sent over a new connection. Each call reduces the share of failed
   * connections.
   */
  public boolean admitNewConnection() {
    boolean isReliable = connectionFailureShare <= MAX_CONNECTION_FAILURE_SHARE;
    connectionFailureShare *= 1 - CONNECTION_DECAY;
    return isReliable;
  }
}
