package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is to be told to others: each rumor some times the logarithm of the members' number, what is
 * urgent and told least first.
 */
final class DisseminationQueue {
  /** Times the logarithm (base 2) of the number of members that a rumor is told. */
  private static final double TIMES = 3;

  private static final class Entry {
    final GossipUpdate rumor;
    final int rank;
    int told;

    Entry(GossipUpdate rumor, int rank) {
      this.rumor = rumor;
      this.rank = rank;
    }
  }

  private final Map<Integer, Entry> byMember = new HashMap<>();

  /** The latest word on a member takes the place of the one before. */
  void add(GossipUpdate rumor) {
    byMember.put(rumor.number(), new Entry(rumor, 0));
  }

  /**
   * The same for what can wait: it goes behind all else. Guards against a start of very many, of
   * each of which all others have much to say, by which the word on one that is suspect would be
   * minutes late.
   */
  void addLater(GossipUpdate rumor) {
    byMember.put(rumor.number(), new Entry(rumor, 1));
  }

  /**
   * As many rumors, up to {@code most}, as fit so many bytes of the next message; {@code first} (or
   * null) is one of them.
   */
  List<GossipUpdate> next(int members, GossipUpdate first, int bytes, int most) {
    List<GossipUpdate> next = new ArrayList<>();
    int left = bytes;
    if (first == null && byMember.isEmpty()) {
      return next;
    }
    if (first != null) {
      next.add(first);
      left -= first.bytes();
    }
    int limit = (int) Math.ceil(TIMES * Math.log(members + 1) / Math.log(2));
    List<Entry> entries = new ArrayList<>(byMember.values());
    entries.sort(
        Comparator.<Entry>comparingInt(e -> e.rank)
            .thenComparingInt(e -> e.told)
            .thenComparingInt(e -> e.rumor.number()));
    for (Entry e : entries) {
      if (next.size() >= most) {
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
