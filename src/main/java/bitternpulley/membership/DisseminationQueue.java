package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates to be piggybacked on messages: urgent ones first, then the least transmitted. Each is
 * transmitted a multiple of the logarithm of the number of members (SWIM's infection-style
 * dissemination). A later update about a member replaces the earlier one.
 */
final class DisseminationQueue {
  /** Transmissions of an update per binary logarithm of the number of members. */
  private static final double TRANSMISSIONS_PER_LOG = 3;

  private static final int URGENT = 0;
  private static final int DEFERRABLE = 1;

  private static final class Entry {
    private final GossipUpdate update;
    private final int rank;
    private int transmissions;

    Entry(GossipUpdate update, int rank) {
      this.update = update;
      this.rank = rank;
    }
  }

  private static final Comparator<Entry> ORDER =
      Comparator.<Entry>comparingInt(entry -> entry.rank)
          .thenComparingInt(entry -> entry.transmissions)
          .thenComparingInt(entry -> entry.update.number());

  private final Map<Integer, Entry> byMember = new HashMap<>();

  void add(GossipUpdate update) {
    byMember.put(update.number(), new Entry(update, URGENT));
  }

  /**
   * Adds an update that waits until nothing urgent is left: the first contacts of a starting fleet
   * would otherwise delay suspicions by minutes.
   */
  void addDeferrable(GossipUpdate update) {
    byMember.put(update.number(), new Entry(update, DEFERRABLE));
  }

  /** Takes updates for one message, at most {@code limit} and of at most that many bytes. */
  List<GossipUpdate> take(int members, int bytes, int limit) {
    List<GossipUpdate> selected = new ArrayList<>();
    selectInto(selected, members, bytes, limit);
    return selected;
  }

  /** The same, with {@code first} as the first update of the message. */
  List<GossipUpdate> takeAfter(GossipUpdate first, int members, int bytes, int limit) {
    List<GossipUpdate> selected = new ArrayList<>();
    selected.add(first);
    selectInto(selected, members, bytes - first.maxEncodedBytes(), limit);
    return selected;
  }

  private void selectInto(List<GossipUpdate> selected, int members, int bytes, int limit) {
    if (byMember.isEmpty()) {
      return;
    }
    int alreadyIncluded = selected.isEmpty() ? -1 : selected.get(0).number();
    int bytesLeft = bytes;
    int maxTransmissions =
        (int) Math.ceil(TRANSMISSIONS_PER_LOG * Math.log(members + 1) / Math.log(2));
    List<Entry> entries = new ArrayList<>(byMember.values());
    entries.sort(ORDER);
    for (Entry entry : entries) {
      if (selected.size() >= limit) {
        return;
      }
      GossipUpdate update = entry.update;
      if (update.maxEncodedBytes() <= bytesLeft && update.number() != alreadyIncluded) {
        selected.add(update);
        bytesLeft -= update.maxEncodedBytes();
        recordTransmission(entry, maxTransmissions);
      }
    }
  }

  private void recordTransmission(Entry entry, int maxTransmissions) {
    entry.transmissions++;
    if (entry.transmissions >= maxTransmissions) {
      byMember.remove(entry.update.number());
    }
  }
}
