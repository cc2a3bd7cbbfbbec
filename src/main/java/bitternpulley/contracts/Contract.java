package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.Map;

/**
 * What one team is guaranteed and allowed. Quotas are shares, from 0 to 1, of the aggregator's
 * current capacity.
 *
 * @param id the team's name, unique in its {@link ContractBook}
 * @param guaranteedQuota the share that the team may always use
 * @param ceiling the share that the team never exceeds, borrowed capacity included; at least {@code
 *     guaranteedQuota}
 * @param burst ms of its quota that an account may save up while it uses less
 * @param borrows whether the team may use capacity that others leave idle
 * @param lends whether others may use capacity that the team leaves idle
 * @param retriesPerPart attempts beyond a part's first, made by the aggregator, that each admitted
 *     part earns
 * @param clientRetries retries by the team's clients that each admitted first attempt earns
 * @param maxPending queries and parts that may be pending at once
 * @param classes the terms of each class that the team may use, by the class's position in the
 *     settings
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
  /** The weight of a team without a guarantee, so that it can borrow as well. */
  private static final double MIN_BORROWING_WEIGHT = 0.01;

  /** Keeps a copy of {@code classes}. */
  public Contract {
    classes = Map.copyOf(classes);
  }

  /** The team's weight when idle capacity is divided among those that want to borrow. */
  double borrowingWeight() {
    return Math.max(guaranteedQuota, MIN_BORROWING_WEIGHT);
  }
}
