package bitternpulley.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Pages of what this instance knows of all members, a further page with each sync message. Repairs
 * what dissemination has missed.
 */
final class AntiEntropy {
  private final LocalMember local;
  private final MembershipTable table;
  private int nextState;
  private int nextPayload;

  AntiEntropy(LocalMember local, MembershipTable table) {
    this.local = local;
    this.table = table;
  }

  /** The next page of payloads for a receiver, without the receiver's own. */
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
      int position = (nextPayload + offset) % publishers.size();
      GossipUpdate update = publishers.get(position).payloadUpdate();
      if (update.maxEncodedBytes() > bytesLeft) {
        nextPayload = position;
        break;
      }
      page.add(update);
      bytesLeft -= update.maxEncodedBytes();
      offset++;
    }
    return page;
  }

  /** The next page of states for a receiver: this instance's own first, the receiver's left out. */
  List<GossipUpdate> statePage(int receiver) {
    GossipUpdate own = local.update();
    List<GossipUpdate> page = new ArrayList<>();
    page.add(own);
    int bytesLeft = GossipMessage.UPDATE_BYTES - own.maxEncodedBytes();
    List<Member> members = new ArrayList<>(table.all());
    int offset = 0;
    while (offset < members.size() && page.size() < GossipMessage.MAX_UPDATES) {
      Member member = members.get((nextState + offset) % members.size());
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
    nextState = members.isEmpty() ? 0 : (nextState + offset) % members.size();
    return page;
  }
}
