package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates to be piggybacked on messages: urgent updates first, and among equally urgent ones the
 * least transmitted first. The number of transmissions of each update is a multiple of the
 * logarithm of the number of members (SWIM's infection-style dissemination). A later update about a
 * member replaces the earlier one.
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

  private static final Comparator<Entry> TRANSMISSION_ORDER =
      Comparator.<Entry>comparingInt(entry -> entry.rank)
          .thenComparingInt(entry -> entry.transmissions)
          .thenComparingInt(entry -> entry.update.number());

  private final Map<Integer, Entry> byMember = new HashMap<>();

  void add(GossipUpdate update) {
    byMember.put(update.number(), new Entry(update, URGENT));
  }

  /**
   * Adds an update that is sent only after all urgent updates: the first contacts of a starting
   * fleet would otherwise delay suspicions by minutes.
   */
  void addDeferrable(GossipUpdate update) {
    byMember.put(update.number(), new Entry(update, DEFERRABLE));
  }

  /** Takes updates for one message, at most {@code maxUpdates} and at most {@code maxBytes}. */
  List<GossipUpdate> take(int memberCount, int maxBytes, int maxUpdates) {
    List<GossipUpdate> selected = new ArrayList<>();
    selectInto(selected, memberCount, maxBytes, maxUpdates);
    return selected;
  }

  /** As {@link #take}, but puts {@code first} before the updates of the queue. */
  List<GossipUpdate> takeAfter(GossipUpdate first, int memberCount, int maxBytes, int maxUpdates) {
    List<GossipUpdate> selected = new ArrayList<>();
    selected.add(first);
    selectInto(selected, memberCount, maxBytes - first.maxEncodedBytes(), maxUpdates);
    return selected;
  }

  private void selectInto(
      List<GossipUpdate> selected, int memberCount, int maxBytes, int maxUpdates) {
    if (byMember.isEmpty()) {
      return;
    }
    int alreadyIncluded = selected.isEmpty() ? -1 : selected.get(0).number();
    int bytesLeft = maxBytes;
    int maxTransmissions =
        (int) Math.ceil(TRANSMISSIONS_PER_LOG * Math.log(memberCount + 1) / Math.log(2));
    List<Entry> entries = new ArrayList<>(byMember.values());
    entries.sort(TRANSMISSION_ORDER);
    for (Entry entry : entries) {
      if (selected.size() >= maxUpdates) {
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
