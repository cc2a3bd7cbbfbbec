package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.Map;

/**
 * The guarantees and limits of one team. Quotas are shares, from 0 to 1, of the aggregator's
 * current capacity.
 *
 * @param id the team's name, unique in its {@link ContractSet}
 * @param guaranteedQuota the share that the team may always use
 * @param ceiling the share that the team may never exceed, borrowed capacity included; at least
 *     {@code guaranteedQuota}
 * @param burst limit on the unused quota that may accumulate, expressed as ms of the quota's rate
 * @param borrows whether the team may use idle capacity of other teams
 * @param lends whether other teams may use the team's idle capacity
 * @param retriesPerPart number of attempts beyond a part's first, made by the aggregator, that each
 *     admitted part earns
 * @param clientRetries number of retries by the team's clients that each admitted first attempt
 *     earns
 * @param maxPending limit on the number of pending queries plus the number of their parts
 * @param classes the terms of each query class that the team may use, by the class's position in
 *     the settings
 */
public record Contract(
    String id,
    double guaranteedQuota,
    double ceiling,
    double burst,
    boolean borrows,
    boolean lends,
    double retriesPerPart,
    double clientRetries,
    int maxPending,
    Map<Integer, Router.ClassTerms> classes) {
  /** The weight of a team without a guaranteed quota, so that it can borrow as well. */
  private static final double MIN_BORROWING_WEIGHT = 0.01;

  /** Copies {@code classes}. */
  public Contract {
    classes = Map.copyOf(classes);
  }

  /** The team's weight when idle capacity is divided among the teams that want to borrow. */
  double borrowingWeight() {
    return Math.max(guaranteedQuota, MIN_BORROWING_WEIGHT);
  }
}
