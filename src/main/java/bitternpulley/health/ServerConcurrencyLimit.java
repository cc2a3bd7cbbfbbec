package bitternpulley.health;

import java.util.ArrayDeque;

/**
 * Limits the parts that this instance may have in flight at one server. A server continues to
 * process a part after its attempt was cancelled, so a cancelled attempt occupies capacity until a
 * part that was sent later is answered.
 */
public final class ServerConcurrencyLimit {
  private static final double INITIAL_LIMIT = 32;
  private static final double MIN_LIMIT = 1;

  /**
   * Factor applied after a rejection for a full queue: to the limit, or to the number of parts in
   * flight and cancelled attempts if that is lower.
   */
  private static final double REJECTION_FACTOR = 0.5;

  /** Factor applied to the limit after a late answer. */
  private static final double LATE_FACTOR = 0.9;

  /** Parts that a timely answer adds to the limit. */
  private static final double INCREASE = 0.25;

  /** Minimum ms between two decreases, since parts that are sent together are rejected together. */
  private static final double DECREASE_INTERVAL_MS = 50;

  /** Ms after which a cancelled attempt no longer counts. */
  private static final double CANCELLED_TTL_MS = 2000;

  private static final int MAX_CANCELLED = 64;

  /** Share of the limit that is available to deferrable parts. */
  private static final double DEFERRABLE_SHARE = 0.5;

  /** Send times of cancelled attempts, in order of cancellation. */
  private final ArrayDeque<Double> cancelledSentAt = new ArrayDeque<>();

  private double limit = INITIAL_LIMIT;
  private double decreasedAt = Double.NEGATIVE_INFINITY;

  /** Whether one more part may be sent in addition to those in flight. */
  public boolean hasCapacity(int inFlight, PartPriority priority, double now) {
    while (!cancelledSentAt.isEmpty() && cancelledSentAt.peek() < now - CANCELLED_TTL_MS) {
      cancelledSentAt.poll();
    }
    // While no part is in flight, no later answer can clear the cancelled attempts, so an urgent
    // part is sent regardless of them.
    return (inFlight == 0 && priority == PartPriority.URGENT)
        || inFlight + cancelledSentAt.size() < limitFor(priority);
  }

  private double limitFor(PartPriority priority) {
    return priority == PartPriority.DEFERRABLE ? DEFERRABLE_SHARE * (limit - 1) : limit;
  }

  /**
   * The earliest time at which there may be capacity: {@code now} if there is capacity or while
   * parts are in flight, since each answer frees capacity; otherwise the time at which the oldest
   * cancelled attempt expires, or infinity if the limit is too low for any deferrable part.
   */
  public double nextCapacityAt(int inFlight, PartPriority priority, double now) {
    if (inFlight > 0 || hasCapacity(inFlight, priority, now)) {
      return now;
    }
    return DEFERRABLE_SHARE * (limit - 1) > 0
        ? cancelledSentAt.peek() + CANCELLED_TTL_MS
        : Double.POSITIVE_INFINITY;
  }

  /** Records a rejection for a full queue. */
  public void recordRejection(int inFlight, double now) {
    decreaseTo(Math.min(limit, inFlight + cancelledSentAt.size()) * REJECTION_FACTOR, now);
  }

  /** Records a timely answer to a part sent at {@code sentAt}. */
  public void recordTimelyAnswer(double sentAt, int inFlight) {
    clearCancelledSentUntil(sentAt);
    if (2 * (inFlight + cancelledSentAt.size() + 1) >= limit) {
      limit += INCREASE;
    }
  }

  /** Records a late answer to a part sent at {@code sentAt}. */
  public void recordLateAnswer(double sentAt, double now) {
    clearCancelledSentUntil(sentAt);
    decreaseTo(limit * LATE_FACTOR, now);
  }

  /**
   * Removes the cancelled attempts sent up to {@code sentAt}. A server's queue is first in, first
   * out, so parts sent before an answered part are finished.
   */
  private void clearCancelledSentUntil(double sentAt) {
    cancelledSentAt.removeIf(time -> time <= sentAt);
  }

  /** Records an attempt sent at {@code sentAt} as cancelled or timed out. */
  public void recordCancelled(double sentAt) {
    cancelledSentAt.add(sentAt);
    if (cancelledSentAt.size() > MAX_CANCELLED) {
      cancelledSentAt.poll();
    }
  }

  private void decreaseTo(double newLimit, double now) {
    if (now >= decreasedAt + DECREASE_INTERVAL_MS) {
      decreasedAt = now;
      limit = Math.max(MIN_LIMIT, newLimit);
    }
  }

  /** Resets the limit for a new server process, which starts with an empty queue. */
  public void reset() {
    cancelledSentAt.clear();
    limit = INITIAL_LIMIT;
  }
}
