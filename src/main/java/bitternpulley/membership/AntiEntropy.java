package bitternpulley.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides what this instance knows about all members into pages, one for each sync message. Sync
 * messages repair what dissemination has missed.
 */
final class AntiEntropy {
  private final LocalMember local;
  private final MembershipTable table;
  private int nextStateIndex;
  private int nextPayloadIndex;

  AntiEntropy(LocalMember local, MembershipTable table) {
    this.local = local;
    this.table = table;
  }

  /** The next page of payloads for a receiver, without the receiver's own payload. */
  List<GossipUpdate> payloadPage(int receiver) {
    List<GossipUpdate> page = new ArrayList<>();
    int bytesLeft = GossipMessage.UPDATE_BYTES;
    if (local.hasPayload()) {
      page.add(local.payloadUpdate());
      bytesLeft -= local.payloadUpdate().maxEncodedBytes();
    }
    List<Member> publishers =
        table.all().stream()
            .filter(member -> member.payload() != null && member.number() != receiver)
            .toList();
    int offset = 0;
    while (offset < publishers.size() && page.size() < GossipMessage.MAX_UPDATES) {
      int position = (nextPayloadIndex + offset) % publishers.size();
      GossipUpdate update = publishers.get(position).payloadUpdate();
      if (update.maxEncodedBytes() > bytesLeft) {
        nextPayloadIndex = position;
        break;
      }
      page.add(update);
      bytesLeft -= update.maxEncodedBytes();
      offset++;
    }
    return page;
  }

  /**
   * The next page of states for a receiver: starts with this instance's own state and omits the
   * receiver's.
   */
  List<GossipUpdate> statePage(int receiver) {
    GossipUpdate own = local.update();
    List<GossipUpdate> page = new ArrayList<>();
    page.add(own);
    int bytesLeft = GossipMessage.UPDATE_BYTES - own.maxEncodedBytes();
    List<Member> members = new ArrayList<>(table.all());
    int offset = 0;
    while (offset < members.size() && page.size() < GossipMessage.MAX_UPDATES) {
      Member member = members.get((nextStateIndex + offset) % members.size());
      GossipUpdate update = member.isAlive() ? member.update() : member.update(local.number());
      if (update.maxEncodedBytes() > bytesLeft) {
        break;
      }
      offset++;
      if (member.isKnown() && member.number() != receiver) {
        page.add(update);
        bytesLeft -= update.maxEncodedBytes();
      }
    }
    nextStateIndex = members.isEmpty() ? 0 : (nextStateIndex + offset) % members.size();
    return page;
  }
}
