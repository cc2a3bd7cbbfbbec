package bitternpulley.platform;

import java.util.Random;

/**
 * Decides when {@link Discovery} opens its next watch while it has no watch that is alive, and how
 * long each watch may stay unanswered.
 *
 * <p>Whether an unanswered watch is lost or discovery is slow cannot be known. Therefore other
 * watches are opened beside it, at intervals that grow, so that a slow discovery receives fewer
 * requests the longer it takes. The first watch may stay unanswered for the longest time. Of the
 * others, most may stay unanswered for the same time, every second one for twice that time, every
 * fourth one for four times, and so on. A discovery of any speed up to the longest of these times
 * is thus heard, even if the first watch is lost, while the number of open watches grows only with
 * the logarithm of the time.
 */
final class WatchSchedule {
  /**
   * Time after which a list that discovery has sent counts as received, in ms, whether or not it
   * has arrived.
   */
  static final double COUNTS_AS_RECEIVED_AFTER_MS = 6000;

  /** The first interval to the next watch, in ms. An agent normally responds at once. */
  private static final double FIRST_INTERVAL_MS = 1000;

  private static final double INTERVAL_GROWTH = 1.5;

  /**
   * The longest interval to the next watch, in ms. Half of the time within which a list has to be
   * received is left for discovery to answer.
   */
  static final double MAX_INTERVAL_MS = COUNTS_AS_RECEIVED_AFTER_MS / 2;

  /** The time for which most watches may stay unanswered, in ms. */
  private static final double MIN_ANSWER_TIMEOUT_MS = COUNTS_AS_RECEIVED_AFTER_MS;

  /** Largest multiple of {@link #MIN_ANSWER_TIMEOUT_MS} that a watch may stay unanswered. */
  private static final long MAX_ANSWER_TIMEOUT_FACTOR = 256;

  /**
   * The shortest and the longest backoff after a watch ended, in ms. If a server starts draining
   * while discovery recovers, nothing may be sent to the server later than 250 ms after the
   * recovery.
   */
  private static final double MIN_BACKOFF_MS = 50;

  private static final double MAX_BACKOFF_MS = 250;

  /**
   * The maximum share of a backoff that is subtracted, and the maximum share of an interval that is
   * added at random, so that instances do not send their requests simultaneously.
   */
  private static final double BACKOFF_JITTER_SHARE = 0.5;

  private static final double INTERVAL_JITTER_SHARE = 0.1;

  private final Random random;
  private double interval;
  private double backoff;

  /** Number of watches that were open and unanswered at the end of their interval. */
  private long unansweredWatches;

  WatchSchedule(Random random) {
    this.random = random;
    reset();
  }

  /** Starts anew: a watch is alive, or discovery has moved. */
  void reset() {
    interval = FIRST_INTERVAL_MS;
    backoff = MIN_BACKOFF_MS;
    unansweredWatches = 0;
  }

  /** Makes the next interval longer than the one that has ended. */
  void growInterval() {
    interval = Math.min(INTERVAL_GROWTH * interval, MAX_INTERVAL_MS / (1 + INTERVAL_JITTER_SHARE));
  }

  /**
   * Records that the newest watch was still unanswered at the end of its interval. Watches that
   * discovery ended do not count: if it ended every second one, those that remain would all have
   * short times to be answered.
   */
  void recordUnanswered() {
    unansweredWatches++;
  }

  /** Returns the time in ms after which another watch is opened beside unanswered ones. */
  double interval() {
    return interval * (1 + INTERVAL_JITTER_SHARE * random.nextDouble());
  }

  /** Returns the time in ms after which the next watch is opened once none is open any more. */
  double nextBackoff() {
    double current = backoff * (1 - BACKOFF_JITTER_SHARE * random.nextDouble());
    backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    return current;
  }

  /** Returns the time in ms for which the next watch may stay unanswered. */
  double answerTimeout() {
    long factor =
        unansweredWatches == 0
            ? MAX_ANSWER_TIMEOUT_FACTOR
            : Math.min(Long.lowestOneBit(unansweredWatches), MAX_ANSWER_TIMEOUT_FACTOR);
    return MIN_ANSWER_TIMEOUT_MS * factor;
  }
}
