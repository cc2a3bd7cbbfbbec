package bitternpulley.contracts;

/** How many queries of a team were rejected by each {@link Limit}. */
public final class RejectionCounts {
  private final long[] byOrdinal;

  RejectionCounts() {
    this(new long[Limit.values().length]);
  }

  private RejectionCounts(long[] byOrdinal) {
    this.byOrdinal = byOrdinal;
  }

  void increment(Limit limit) {
    byOrdinal[limit.ordinal()]++;
  }

  /** The number of rejections by a limit. */
  public long of(Limit limit) {
    return byOrdinal[limit.ordinal()];
  }

  RejectionCounts copy() {
    return new RejectionCounts(byOrdinal.clone());
  }

  /** The counts in the order of {@link Limit}'s constants. */
  long[] inOrderOfLimits() {
    return byOrdinal.clone();
  }
}
