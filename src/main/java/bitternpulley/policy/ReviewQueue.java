package bitternpulley.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The queries to review at the end of the batch, without duplicates and in the order in which they
 * were added.
 */
final class ReviewQueue {
  private final Set<QueryState> queries = new LinkedHashSet<>();

  void add(QueryState query) {
    queries.add(query);
  }

  boolean isEmpty() {
    return queries.isEmpty();
  }

  /** Removes and returns all queries. */
  List<QueryState> drain() {
    List<QueryState> drained = new ArrayList<>(queries);
    queries.clear();
    return drained;
  }
}
