package bitternpulley.membership;

import java.util.ArrayDeque;
import java.util.Optional;

/**
 * The members to be probed out of turn, within a budget. Without one, in a large fleet on a lossy
 * network, where some member is suspect at any time, every member would probe every suspect:
 * traffic would grow with the square of the fleet. A failed check is refunded, since its duration
 * bounds it, so that dead members are confirmed no later.
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

  /** A queue with a full budget; {@code interval} is the probe interval in ms. */
  CheckQueue(ActiveProbes active, double interval, double now) {
    this.active = active;
    this.interval = interval;
    refilledAt = now;
  }

  /** Queues a check of a member, unless one is queued or the member is being probed. */
  void request(Member member) {
    if (!queue.contains(member) && !active.isProbing(member)) {
      queue.add(member);
    }
  }

  /**
   * Takes the next member to check; empty where none waits or the budget is spent. Members that
   * wait keep their order.
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
