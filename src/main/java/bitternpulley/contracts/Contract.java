package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.Map;

/**
 * What one team is owed and may do. Shares are of what this aggregator can do just then, from 0 to
 * 1.
 *
 * @param id the team's name, unique in its book
 * @param guaranteedQuota the share that is the team's whenever it wants it
 * @param ceiling the share that it never passes, borrowed work included; at least {@code
 *     guaranteed}
 * @param burst ms of its shares that an account which was not used may save up
 * @param borrows whether it may use what others leave idle
 * @param lends whether others may use what it leaves idle
 * @param retriesPerPart attempts beyond a part's first that each part admitted earns, ours to make
 * @param clientRetries retries that each first try admitted earns the team's clients
 * @param maxPending queries and parts that may be open at once
 * @param classes what it says of each class that it may use, by the class's position in the
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

  public Contract {
    classes = Map.copyOf(classes);
  }
}
