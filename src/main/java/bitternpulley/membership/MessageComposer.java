package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayList;
import java.util.List;

/**
 * What this instance says: each message bears what is news, what is known page by page, and what
 * members tell of themselves.
 */
final class MessageComposer {
  private final int self;
  private final LocalMember me;
  private final MembershipTable table;
  private final DisseminationQueue spread = new DisseminationQueue();
  private final DisseminationQueue slots = new DisseminationQueue();
  private final AntiEntropy pages;
  private boolean slotsFirst;

  MessageComposer(int self, LocalMember me, MembershipTable table) {
    this.self = self;
    this.me = me;
    this.table = table;
    pages = new AntiEntropy(self);
  }

  /** News of how a member stands. */
  void add(GossipUpdate rumor) {
    spread.add(rumor);
  }

  /** News that can wait: a member is here, of which nothing was heard before. */
  void later(GossipUpdate rumor) {
    spread.addLater(rumor);
  }

  /** News of what a member tells of itself. */
  void slot(GossipUpdate rumor) {
    slots.add(rumor);
  }

  GossipMessage say(Kind kind, int to, int number, int target) {
    Member m = table.known(to);
    // Whoever is held for anything but alive is told so first of all, that it may refute.
    GossipUpdate first = m != null && m.standing != MemberState.ALIVE ? m.rumor(self) : null;
    // By turns half is for slots. Guards against a start of many, whose news alone fills every
    // message for minutes.
    slotsFirst = !slotsFirst;
    List<GossipUpdate> rumors = new ArrayList<>();
    if (slotsFirst && first == null) {
      rumors.addAll(
          slots.next(
              table.here(), null, GossipMessage.UPDATE_BYTES / 2, GossipMessage.MAX_UPDATES));
      rumors.addAll(
          spread.next(table.here(), null, left(rumors), GossipMessage.MAX_UPDATES - rumors.size()));
    } else {
      rumors.addAll(
          spread.next(table.here(), first, GossipMessage.UPDATE_BYTES, GossipMessage.MAX_UPDATES));
      rumors.addAll(
          slots.next(table.here(), null, left(rumors), GossipMessage.MAX_UPDATES - rumors.size()));
    }
    return message(kind, number, target, rumors);
  }

  private static int left(List<GossipUpdate> rumors) {
    return GossipMessage.UPDATE_BYTES - rumors.stream().mapToInt(GossipUpdate::bytes).sum();
  }

  /**
   * A page of what is known, the next one each time: of what members tell, or of how they stand.
   */
  GossipMessage page(int to, boolean told) {
    return message(
        Kind.SYNC,
        0,
        to,
        told ? pages.slots(me, table, to) : pages.standings(me.rumor(), table, to));
  }

  /** Digest of what members tell, as far as it is known. */
  int told() {
    return table.told(me.epoch(), me.slot() == null ? 0 : me.slot().count());
  }

  private GossipMessage message(Kind kind, int number, int target, List<GossipUpdate> rumors) {
    return new GossipMessage(
        kind,
        self,
        me.epoch(),
        me.incarnation(),
        number,
        target,
        table.digest(me.epoch()),
        told(),
        rumors);
  }
}
