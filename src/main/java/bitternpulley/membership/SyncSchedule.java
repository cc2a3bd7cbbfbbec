package bitternpulley.membership;

import java.util.Random;

/** Determines when this instance sends sync messages. */
final class SyncSchedule {
  /** Intervals between regular sync messages, which do not respond to a difference of views. */
  private static final double PERIOD_INTERVALS = 10;

  /** Minimum intervals between a sync message and another one that responds to a difference. */
  private static final double MIN_SPACING_INTERVALS = 1;

  private final double interval;
  private double nextSyncAt;

  /** Creates a schedule whose first sync message is due at a random time in the first period. */
  SyncSchedule(double interval, Random random, double now) {
    this.interval = interval;
    nextSyncAt = now + PERIOD_INTERVALS * interval * random.nextDouble();
  }

  /** Whether a regular sync message is due. */
  boolean isDue(double now) {
    return now >= nextSyncAt;
  }

  /** Whether a sync message may be sent in response to a difference of views. */
  boolean allowsResponse(double now) {
    return now >= nextSyncAt - (PERIOD_INTERVALS - MIN_SPACING_INTERVALS) * interval;
  }

  /** Restarts the period when a sync message is sent. */
  void restart(double now) {
    nextSyncAt = now + PERIOD_INTERVALS * interval;
  }
}
