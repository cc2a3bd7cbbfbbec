package bitternpulley.health;

/**
 * Limits the parts that one instance may have in flight. Timely answers increase the limit
 * additively, late answers decrease it multiplicatively.
 */
public final class InstanceConcurrencyLimit {
  /** Initial limit per known server: one part being processed and one queued behind it. */
  private static final double INITIAL_PARTS_PER_SERVER = 2;

  /** Lower bound of the limit in parts, so that a small query can always be sent completely. */
  private static final double MIN_LIMIT = 4;

  /** Parts that a timely answer adds to the limit. */
  private static final double INCREASE = 0.25;

  /**
   * Share of the limit that a late answer removes. At a limit of about 88 parts, one late answer in
   * eight leaves the limit unchanged.
   */
  private static final double DECREASE_SHARE = 0.02;

  /**
   * A timely answer takes at most this multiple of the part's work, which allows for two parts
   * queued ahead of it.
   */
  private static final double TIMELY_WORK_MULTIPLE = 3;

  /**
   * An answer within this share of the latency objective is timely regardless of the part's work.
   */
  private static final double TIMELY_OBJECTIVE_SHARE = 0.3;

  /** An answer beyond this share of the latency objective is late regardless of the part's work. */
  private static final double MAX_TIMELY_OBJECTIVE_SHARE = 0.5;

  private double limit;

  /**
   * Resets the limit to its initial value for this number of known servers. Before the first call,
   * the limit is 0.
   */
  public void reset(int servers) {
    limit = Math.max(MIN_LIMIT, INITIAL_PARTS_PER_SERVER * servers);
  }

  /** Whether this number of parts in flight reaches the limit. */
  public boolean isReached(int inFlight) {
    return inFlight >= limit;
  }

  /**
   * The longest latency in ms of a timely answer, given the latency objective and the part's work,
   * both in ms.
   */
  public double maxTimelyLatency(double latencyObjective, double work) {
    return Math.max(
        TIMELY_OBJECTIVE_SHARE * latencyObjective,
        Math.min(TIMELY_WORK_MULTIPLE * work, MAX_TIMELY_OBJECTIVE_SHARE * latencyObjective));
  }

  /** Records a timely answer. The limit does not grow while less than half of it is in use. */
  public void recordTimely(int inFlight) {
    limit += 2 * inFlight >= limit ? INCREASE : 0;
  }

  /** Records a late answer that would have been timely with fewer parts in flight. */
  public void recordLate() {
    limit = Math.max(MIN_LIMIT, limit * (1 - DECREASE_SHARE));
  }
}
