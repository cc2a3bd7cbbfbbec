package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What is to be told to others: each rumor some times the logarithm of the members' number, those told least first. */
final class Spread {
  /** Times the logarithm (base 2) of the number of members that a rumor is told. */
  private static final double TIMES = 3;

  private static final class Entry {
    final Rumor rumor;
    int told;

    Entry(Rumor rumor) {
      this.rumor = rumor;
    }
  }

  private final Map<Integer, Entry> byMember = new HashMap<>();

  /** The latest word on a member takes the place of the one before. */
  void add(Rumor rumor) {
    byMember.put(rumor.number(), new Entry(rumor));
  }

  boolean isEmpty() {
    return byMember.isEmpty();
  }

  /** As many rumors as fit the next message, of which {@code first} (or null) is one. */
  List<Rumor> next(int members, Rumor first) {
    List<Rumor> next = new ArrayList<>();
    int left = Message.RUMOR_BYTES;
    if (first != null) {
      next.add(first);
      left -= first.bytes();
    }
    int limit = (int) Math.ceil(TIMES * Math.log(members + 1) / Math.log(2));
    List<Entry> entries = new ArrayList<>(byMember.values());
    entries.sort(Comparator.<Entry>comparingInt(e -> e.told).thenComparingInt(e -> e.rumor.number()));
    for (Entry e : entries) {
      if (next.size() >= Message.MOST_RUMORS) {
        break;
      }
      if (e.rumor.bytes() <= left && (first == null || e.rumor.number() != first.number())) {
        next.add(e.rumor);
        left -= e.rumor.bytes();
        if (++e.told >= limit) {
          byMember.remove(e.rumor.number());
        }
      }
    }
    return next;
  }
}
