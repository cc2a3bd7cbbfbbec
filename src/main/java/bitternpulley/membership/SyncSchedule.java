package bitternpulley.membership;

import java.util.Random;

/** When this instance sends its next sync message. */
final class SyncSchedule {
  /** Intervals between sync messages that no difference of views caused. */
  private static final double PERIOD_INTERVALS = 10;

  /** Intervals after a sync message before a difference of views may cause another. */
  private static final double MIN_PAUSE_INTERVALS = 1;

  private final double interval;
  private double nextAt;

  /** A schedule that begins at a random time within the first period. */
  SyncSchedule(double interval, Random random, double now) {
    this.interval = interval;
    nextAt = now + PERIOD_INTERVALS * interval * random.nextDouble();
  }

  /** Whether it is time for a sync message in any case. */
  boolean isDue(double now) {
    return now >= nextAt;
  }

  /** Whether a sync message may answer a difference of views. */
  boolean allowsResponse(double now) {
    return now >= nextAt - (PERIOD_INTERVALS - MIN_PAUSE_INTERVALS) * interval;
  }

  /** A sync message is sent now. */
  void restart(double now) {
    nextAt = now + PERIOD_INTERVALS * interval;
  }
}
