package bitternpulley.policy;

/**
 * What a part's work is, where no work is told: never less than it, as load stretches all that is seen of it. Guards against
 * a cold server's budget that shrinks as the others fill up, just when it is needed.
 */
final class WorkEstimate {
  /** Times a quick answer that a part's work counts as, and how fast the figure falls and rises. */
  private static final double QUICK_ROOM = 2;
  private static final double QUICK_FALL = 0.1;
  private static final double QUICK_RISE = 0.01;
  /** Weight of a new answer to a part that was alone, and the most that one counts as, by the figure so far. */
  private static final double ALONE_SMOOTHING = 0.05;
  private static final double ALONE_MOST = 3;

  /** About the time that one answer in ten stays below. */
  private double quick = Double.POSITIVE_INFINITY;
  private double alone = Double.POSITIVE_INFINITY;

  /** An answer; {@code alone} where none of ours was before it at a server that is sound and warm. */
  void answered(double took, boolean alone) {
    quick = took < quick ? quick == Double.POSITIVE_INFINITY ? took : quick + QUICK_FALL * (took - quick)
        : quick + QUICK_RISE * Math.min(took - quick, quick);
    if (alone) {
      this.alone = this.alone == Double.POSITIVE_INFINITY ? took
          : this.alone + ALONE_SMOOTHING * (Math.min(took, ALONE_MOST * this.alone) - this.alone);
    }
  }

  double work(double usual) {
    return Math.min(usual, Math.min(quick * QUICK_ROOM, alone));
  }
}
