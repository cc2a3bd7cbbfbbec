package bitternpulley.health;

/**
 * What is known of the way to the servers of one zone: what parts take there, how many are late,
 * how many new connections fail.
 */
public final class ZoneLatency {
  /** Weight of a new latency, and of a part that was late or in time. */
  private static final double SMOOTHING = 0.05;

  private static final double LOSS = 0.1;

  /** So many times the figure so far is the most that one answer counts as in it. */
  private static final double OUTLIER = 4;

  /**
   * Share of lost parts, and of fresh connections that may come too late, that counts at the most.
   */
  private static final double LOST_MOST = 0.8;

  private static final double FRESH_LOSS_MOST = 0.25;

  /** Weight of one fresh connection, and what each part sent forgets of those before. */
  private static final double FRESH_SMOOTHING = 0.15;

  private static final double FRESH_FORGET = 0.02;

  private double latency;
  private boolean heard;
  private double lost;
  private double freshLoss;

  /** One of which nothing is known but a guess at its latency, ms. */
  public ZoneLatency(double latency) {
    this.latency = latency;
  }

  public double latency() {
    return latency;
  }

  /** The latency where it stands on an answer, else infinity. */
  public double heardLatency() {
    return heard ? latency : Double.POSITIVE_INFINITY;
  }

  /**
   * A part took so many ms. A single outlier hardly moves the figure: it is the server's or the
   * query's own.
   */
  public void took(double ms) {
    latency += SMOOTHING * (Math.min(ms, OUTLIER * latency) - latency);
    heard = true;
  }

  /** A part is late, which speaks against its way at once, not only when it is given up. */
  public void late() {
    lost += LOSS * (1 - lost);
  }

  /** A part was answered that had not been late. */
  public void inTime() {
    lost *= 1 - LOSS;
  }

  /** The share of parts that arrive, at least a fifth. */
  public double arrives() {
    return 1 - Math.min(lost, LOST_MOST);
  }

  /** A fresh connection came up, or did not in time. */
  public void fresh(boolean failed) {
    freshLoss += FRESH_SMOOTHING * ((failed ? 1 : 0) - freshLoss);
  }

  /** A part is to go over this way: whether fresh connections are to be trusted there. */
  public boolean trustsFresh() {
    boolean trusts = freshLoss <= FRESH_LOSS_MOST;
    freshLoss *= 1 - FRESH_FORGET;
    return trusts;
  }
}
