package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.List;

/**
 * Composes messages. A sync message carries a page of the known states or payloads; any other
 * message carries queued updates of states and payloads.
 */
final class MessageComposer {
  private final LocalMember local;
  private final MembershipTable table;
  private final DisseminationQueue states = new DisseminationQueue();
  private final DisseminationQueue payloads = new DisseminationQueue();
  private final AntiEntropy antiEntropy;
  private boolean putsPayloadsFirst;

  MessageComposer(LocalMember local, MembershipTable table) {
    this.local = local;
    this.table = table;
    antiEntropy = new AntiEntropy(local, table);
  }

  /** Queues an update of a member's state. */
  void disseminate(GossipUpdate update) {
    states.add(update);
  }

  /** Queues an update about the first contact with a member, which may wait for other updates. */
  void disseminateLater(GossipUpdate update) {
    states.addDeferrable(update);
  }

  /** Queues an update of a member's payload. */
  void disseminatePayload(GossipUpdate update) {
    payloads.add(update);
  }

  /** A message of any kind but sync, with queued updates. */
  GossipMessage compose(Kind kind, int receiver, int sequence, int target) {
    // Every second message offers half of its space to payloads first: the updates about first
    // contacts of a starting fleet would otherwise fill all messages for minutes.
    putsPayloadsFirst = !putsPayloadsFirst;
    Member member = table.find(receiver);
    List<GossipUpdate> updates;
    if (member != null && member.needsUpdateAboutItself()) {
      // The update that the receiver may have to refute comes first.
      updates =
          states.takeAfter(
              member.update(local.number()),
              table.activeCount(),
              GossipMessage.UPDATE_BYTES,
              GossipMessage.MAX_UPDATES);
      fillRemainingSpace(updates, payloads);
    } else if (putsPayloadsFirst) {
      updates = takeFirst(payloads, GossipMessage.UPDATE_BYTES / 2);
      fillRemainingSpace(updates, states);
    } else {
      updates = takeFirst(states, GossipMessage.UPDATE_BYTES);
      fillRemainingSpace(updates, payloads);
    }
    return message(kind, sequence, target, updates);
  }

  private List<GossipUpdate> takeFirst(DisseminationQueue queue, int bytes) {
    return queue.take(table.activeCount(), bytes, GossipMessage.MAX_UPDATES);
  }

  private void fillRemainingSpace(List<GossipUpdate> updates, DisseminationQueue queue) {
    int bytesUsed = updates.stream().mapToInt(GossipUpdate::maxEncodedBytes).sum();
    updates.addAll(
        queue.take(
            table.activeCount(),
            GossipMessage.UPDATE_BYTES - bytesUsed,
            GossipMessage.MAX_UPDATES - updates.size()));
  }

  /** A sync message with the next page of states. */
  GossipMessage composeStateSync(int receiver) {
    return message(Kind.SYNC, 0, receiver, antiEntropy.statePage(receiver));
  }

  /** A sync message with the next page of payloads. */
  GossipMessage composePayloadSync(int receiver) {
    return message(Kind.SYNC, 0, receiver, antiEntropy.payloadPage(receiver));
  }

  /** Digest of this instance's view. */
  int viewDigest() {
    return table.viewDigest(local.epoch());
  }

  /** Digest of the payloads that this instance knows. */
  int payloadDigest() {
    return table.payloadDigest(local.epoch(), local.payloadSequenceNumber());
  }

  private GossipMessage message(Kind kind, int sequence, int target, List<GossipUpdate> updates) {
    return new GossipMessage(
        kind,
        local.number(),
        local.epoch(),
        local.incarnation(),
        sequence,
        target,
        viewDigest(),
        payloadDigest(),
        updates);
  }
}
