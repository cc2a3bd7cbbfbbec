package bitternpulley.health;

/**
 * How many parts one instance may have out at once: additive increase by timely answers,
 * multiplicative decrease by late ones. Guards against queues that make all answers late, whatever
 * fills them.
 */
public final class ConcurrencyLimit {
  /**
   * Parts out for each known server that a new instance allows itself: one in work and one behind
   * it.
   */
  private static final double PER_SERVER = 2;

  /** The least limit: as many as a small query has parts, so that one can always be sent whole. */
  private static final double LEAST = 4;

  /**
   * Parts gained by a timely answer, and the share lost by a late one: an outlier in eight answers
   * leaves it as it is.
   */
  private static final double GAIN = 0.25;

  private static final double LOSS = 0.02;

  /**
   * Answers of usual work that a timely one takes at the most: one in work, and two before it in
   * the queue.
   */
  private static final double TIMELY_WORKS = 3;

  /**
   * Share of its class's aim below which an answer is timely all the same: the rest is for holding
   * and second steps.
   */
  private static final double TIMELY_SHARE = 0.3;

  /**
   * Share of the aim beyond which no answer is timely, however long its work: two such in a row
   * would miss it.
   */
  private static final double TIMELY_MOST = 0.5;

  private double limit;

  /** Starts anew, for so many servers. */
  public void startFor(int servers) {
    limit = Math.max(LEAST, PER_SERVER * servers);
  }

  /** Whether so many parts out leave no room for more. */
  public boolean isReached(int out) {
    return out >= limit;
  }

  /**
   * Ms up to which an answer in a class of this aim is timely, where a part's work is about so many
   * ms.
   */
  public double timely(double aim, double work) {
    return Math.max(TIMELY_SHARE * aim, Math.min(TIMELY_WORKS * work, TIMELY_MOST * aim));
  }

  /** A timely answer, with so many others out; a limit that is not made use of does not grow. */
  public void onTimely(int out) {
    limit += 2 * out >= limit ? GAIN : 0;
  }

  /** A late answer, for which fewer parts out would help. */
  public void onLate() {
    limit = Math.max(LEAST, limit * (1 - LOSS));
  }
}
