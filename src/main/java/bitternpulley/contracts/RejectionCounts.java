package bitternpulley.contracts;

import java.util.EnumMap;
import java.util.Map;

/** The number of a team's queries that were rejected by each {@link Limit}. */
public final class RejectionCounts {
  private static final class Counter {
    private long count;
  }

  private final Map<Limit, Counter> counters = new EnumMap<>(Limit.class);

  RejectionCounts() {
    for (Limit limit : Limit.values()) {
      counters.put(limit, new Counter());
    }
  }

  void increment(Limit limit) {
    counters.get(limit).count++;
  }

  /** The number of rejections by a limit. */
  public long count(Limit limit) {
    return counters.get(limit).count;
  }

  RejectionCounts copy() {
    RejectionCounts copy = new RejectionCounts();
    counters.forEach((limit, counter) -> copy.counters.get(limit).count = counter.count);
    return copy;
  }
}
