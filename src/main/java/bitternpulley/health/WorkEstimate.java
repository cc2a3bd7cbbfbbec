package bitternpulley.health;

/**
 * What a part's work is, where no work is told: never less than it, as load stretches all that is
 * seen of it. Guards against a cold server's budget that shrinks as the others fill up, just when
 * it is needed.
 */
public final class WorkEstimate {
  /** Times a quick answer that a part's work counts as, and how fast the figure falls and rises. */
  private static final double QUICK_ROOM = 2;

  private static final double QUICK_FALL = 0.1;
  private static final double QUICK_RISE = 0.01;

  /**
   * Answers to lone parts that the mean is taken of, and the most that one of them counts as, by
   * the figure so far.
   */
  private static final int ALONE_SPAN = 20;

  private static final double ALONE_MOST = 3;

  /**
   * How fast the least mean rises, by answer, some hundred of which come in a second: slower than
   * any jam lasts.
   */
  private static final double LEAST_RISE = 0.0002;

  /** About the time that one answer in ten stays below. */
  private double quick = Double.POSITIVE_INFINITY;

  private double mean;
  private double least = Double.POSITIVE_INFINITY;
  private int count;

  /**
   * An answer; {@code alone} where none of ours was before it at a server that is sound and warm.
   */
  public void answered(double took, boolean alone) {
    quick =
        took < quick
            ? quick == Double.POSITIVE_INFINITY ? took : quick + QUICK_FALL * (took - quick)
            : quick + QUICK_RISE * Math.min(took - quick, quick);
    if (alone) {
      double counted = count == 0 ? took : Math.min(took, ALONE_MOST * mean);
      count = Math.min(count + 1, ALONE_SPAN);
      mean += (counted - mean) / count;
      // A jam stretches lone parts too: others' wait before them. What the calmest moment showed is
      // nearest to the work.
      least = count < ALONE_SPAN ? least : Math.min(mean, least * (1 + LEAST_RISE));
    }
  }

  public double work(double usual) {
    return Math.min(usual, Math.min(quick * QUICK_ROOM, least));
  }
}
