package bitternpulley.health;

/**
 * How many parts one instance may have in flight: additive increase by timely answers,
 * multiplicative decrease by late ones.
 */
public final class ConcurrencyLimit {
  /** Initial limit per known server: one part being processed and one queued behind it. */
  private static final double INITIAL_PARTS_PER_SERVER = 2;

  /** Lower bound of the limit, in parts: a small query can always be sent completely. */
  private static final double MINIMUM = 4;

  /** Parts that a timely answer adds to the limit. */
  private static final double INCREASE = 0.25;

  /** Share of the limit that a late answer removes: one late answer in eight is neutral. */
  private static final double DECREASE = 0.02;

  /** Multiple of a part's work that a timely answer takes at most: two parts queued before it. */
  private static final double TIMELY_WORK_MULTIPLE = 3;

  /** Share of the latency objective within which an answer is timely whatever its work. */
  private static final double TIMELY_OBJECTIVE_SHARE = 0.3;

  /** Share of the latency objective beyond which no answer is timely whatever its work. */
  private static final double MAX_TIMELY_OBJECTIVE_SHARE = 0.5;

  private double limit;

  /** Sets the initial limit for a number of known servers. */
  public void reset(int servers) {
    limit = Math.max(MINIMUM, INITIAL_PARTS_PER_SERVER * servers);
  }

  /** Whether this number of parts in flight leaves no capacity for more. */
  public boolean isReached(int inFlight) {
    return inFlight >= limit;
  }

  /** The longest latency of a timely answer in ms, by latency objective and work, both in ms. */
  public double timelyLatency(double latencyObjective, double work) {
    return Math.max(
        TIMELY_OBJECTIVE_SHARE * latencyObjective,
        Math.min(TIMELY_WORK_MULTIPLE * work, MAX_TIMELY_OBJECTIVE_SHARE * latencyObjective));
  }

  /** Records a timely answer. A limit of which less than half is used does not grow. */
  public void recordTimely(int inFlight) {
    limit += 2 * inFlight >= limit ? INCREASE : 0;
  }

  /** Records a late answer that fewer parts in flight could have avoided. */
  public void recordLate() {
    limit = Math.max(MINIMUM, limit * (1 - DECREASE));
  }
}
