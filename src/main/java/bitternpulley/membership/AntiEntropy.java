package bitternpulley.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * What is known of all members, a page in each message, the next one each time: repairs what rumors
 * missed.
 */
final class AntiEntropy {
  private final int self;
  private int from;
  private int slotFrom;

  AntiEntropy(int self) {
    this.self = self;
  }

  /** As many slots as fit, of members by turns, for one that needs to be told nothing of itself. */
  List<GossipUpdate> slots(LocalMember me, MembershipTable table, int to) {
    List<GossipUpdate> page = new ArrayList<>();
    int left = GossipMessage.UPDATE_BYTES;
    if (me.slot() != null) {
      page.add(me.slotRumor());
      left -= me.slotRumor().bytes();
    }
    List<Member> told = table.all().stream().filter(m -> m.slot != null && m.number != to).toList();
    for (int i = 0; i < told.size() && page.size() < GossipMessage.MAX_UPDATES; i++) {
      GossipUpdate next = told.get((slotFrom + i) % told.size()).slotRumor();
      if (next.bytes() > left) {
        slotFrom = (slotFrom + i) % told.size();
        break;
      }
      page.add(next);
      left -= next.bytes();
    }
    return page;
  }

  /**
   * The next page of standings for one that needs to be told nothing of itself; {@code own} is this
   * instance's word and comes first.
   */
  List<GossipUpdate> standings(GossipUpdate own, MembershipTable table, int to) {
    List<GossipUpdate> page = new ArrayList<>();
    page.add(own);
    int left = GossipMessage.UPDATE_BYTES - own.bytes();
    List<Member> all = new ArrayList<>(table.all());
    int next = from;
    for (int i = 0; i < all.size() && page.size() < GossipMessage.MAX_UPDATES; i++) {
      Member m = all.get((from + i) % all.size());
      GossipUpdate known = m.rumor(m.standing == MemberState.ALIVE ? -1 : self);
      if (known.bytes() > left) {
        break;
      }
      next = from + i + 1;
      if (m.epoch != 0 && m.number != to) {
        page.add(known);
        left -= known.bytes();
      }
    }
    from = all.isEmpty() ? 0 : next % all.size();
    return page;
  }
}
