package bitternpulley.membership;

import java.util.ArrayDeque;
import java.util.Optional;

/**
 * The members that are queued for a check, a probe outside the round, and the budget of checks. In
 * a large fleet on a lossy network some member is suspect at any time; without the budget every
 * member would probe every suspect, and traffic would grow with the square of the fleet size. The
 * cost of a failed check is refunded, so that the budget does not delay the confirmation of dead
 * members; the duration of a failed check already limits their rate.
 */
final class CheckQueue {
  private static final double CHECKS_PER_INTERVAL = 1;
  private static final double MAX_BUDGET = 8;
  private static final double CHECK_COST = 1;

  private final ActiveProbes active;
  private final double interval;
  private final ArrayDeque<Member> queue = new ArrayDeque<>();
  private double budget = MAX_BUDGET;
  private double refilledAt;

  /** Creates a queue with a full budget; {@code interval} is the probe interval in ms. */
  CheckQueue(ActiveProbes active, double interval, double now) {
    this.active = active;
    this.interval = interval;
    refilledAt = now;
  }

  /** Queues a check of a member, unless a check is already queued or a probe is in progress. */
  void request(Member member) {
    if (!queue.contains(member) && !active.isProbing(member)) {
      queue.add(member);
    }
  }

  /**
   * Takes the next member to check, in the order of the requests; empty if no active member is next
   * or the budget is spent.
   */
  Optional<Member> take(double now) {
    budget = Math.min(MAX_BUDGET, budget + CHECKS_PER_INTERVAL * (now - refilledAt) / interval);
    refilledAt = now;
    if (budget < CHECK_COST) {
      return Optional.empty();
    }
    Member next = queue.poll();
    if (next == null || !next.isActive()) {
      return Optional.empty();
    }
    budget -= CHECK_COST;
    return Optional.of(next);
  }

  /** Returns the cost of a failed check to the budget. */
  void refund() {
    budget += CHECK_COST;
  }
}
