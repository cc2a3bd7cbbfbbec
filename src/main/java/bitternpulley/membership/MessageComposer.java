package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.List;

/**
 * Composes messages: each carries queued updates of states and payloads, or, for a sync, a page of
 * what is known.
 */
final class MessageComposer {
  private final LocalMember local;
  private final MembershipTable table;
  private final DisseminationQueue states = new DisseminationQueue();
  private final DisseminationQueue payloads = new DisseminationQueue();
  private final AntiEntropy antiEntropy;
  private boolean isPayloadTurn;

  MessageComposer(LocalMember local, MembershipTable table) {
    this.local = local;
    this.table = table;
    antiEntropy = new AntiEntropy(local, table);
  }

  /** Queues the state of a member. */
  void disseminate(GossipUpdate update) {
    states.add(update);
  }

  /** Queues the first contact with a member, which may wait. */
  void disseminateLater(GossipUpdate update) {
    states.addDeferrable(update);
  }

  /** Queues the payload of a member. */
  void disseminatePayload(GossipUpdate update) {
    payloads.add(update);
  }

  /** A message of any kind but sync, with queued updates. */
  GossipMessage compose(Kind kind, int receiver, int sequence, int target) {
    // In every second message half of the space is for payloads: the first contacts of a starting
    // fleet fill all messages for minutes.
    isPayloadTurn = !isPayloadTurn;
    Member member = table.find(receiver);
    List<GossipUpdate> updates;
    if (member != null && member.needsOwnRecord()) {
      // It learns first what it has to refute.
      updates =
          states.takeAfter(
              member.update(local.number()),
              table.activeCount(),
              GossipMessage.UPDATE_BYTES,
              GossipMessage.MAX_UPDATES);
      fill(updates, payloads);
    } else if (isPayloadTurn) {
      updates = takeFirst(payloads, GossipMessage.UPDATE_BYTES / 2);
      fill(updates, states);
    } else {
      updates = takeFirst(states, GossipMessage.UPDATE_BYTES);
      fill(updates, payloads);
    }
    return message(kind, sequence, target, updates);
  }

  private List<GossipUpdate> takeFirst(DisseminationQueue queue, int bytes) {
    return queue.take(table.activeCount(), bytes, GossipMessage.MAX_UPDATES);
  }

  private void fill(List<GossipUpdate> updates, DisseminationQueue queue) {
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
    return table.payloadDigest(local.epoch(), local.payloadCount());
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
