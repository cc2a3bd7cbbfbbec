package bitternpulley.policy;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The unfinished queries, their parts, and which of the queries wait to be admitted. */
final class QueryRegistry {
  private final Map<Long, QueryState> queriesById = new HashMap<>();
  private final Map<Long, QueryState> queriesByNumber = new HashMap<>();
  private final Map<Long, PartState> parts = new HashMap<>();
  private final Set<QueryState> pending = new LinkedHashSet<>();
  private final Set<QueryState> pendingView = Collections.unmodifiableSet(pending);

  void add(QueryState query) {
    queriesById.put(query.id(), query);
    queriesByNumber.put(query.query().number(), query);
  }

  void addPart(PartState part) {
    part.query().addPart(part);
    parts.put(part.id(), part);
  }

  /** The query with this id, or null. */
  QueryState query(long id) {
    return queriesById.get(id);
  }

  /** The query with this query number, which its parts carry, or null. */
  QueryState queryByNumber(long number) {
    return queriesByNumber.get(number);
  }

  /**
   * The part with this id, or null. Parts of finished queries are kept while an attempt is in
   * flight.
   */
  PartState part(long id) {
    return parts.get(id);
  }

  /** Removes a part that has no attempt in flight and is no longer needed for a query. */
  void removePart(PartState part) {
    parts.remove(part.id());
  }

  /** Removes a finished query. Its parts are removed separately, by {@link #removePart}. */
  void remove(QueryState query) {
    pending.remove(query);
    queriesById.remove(query.id());
    queriesByNumber.remove(query.query().number());
  }

  /** All unfinished queries, in no particular order. */
  Collection<QueryState> queries() {
    return queriesById.values();
  }

  /** The queries that wait to be admitted, in the order of their arrival. */
  Set<QueryState> pending() {
    return pendingView;
  }

  void addPending(QueryState query) {
    pending.add(query);
  }

  void removePending(QueryState query) {
    pending.remove(query);
  }
}
