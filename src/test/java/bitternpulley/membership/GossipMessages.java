package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.List;

/** Creates messages of incarnation 0 for tests; their digests match no view. */
final class GossipMessages {
  private static final int NO_TARGET = 0;

  private GossipMessages() {}

  static GossipMessage ping(int from, long epoch, int sequence, GossipUpdate... updates) {
    return message(Kind.PING, from, epoch, sequence, NO_TARGET, updates);
  }

  static GossipMessage ack(int from, long epoch, int sequence) {
    return message(Kind.ACK, from, epoch, sequence, from);
  }

  static GossipMessage sync(int from, long epoch, GossipUpdate... updates) {
    return message(Kind.SYNC, from, epoch, 0, NO_TARGET, updates);
  }

  private static GossipMessage message(
      Kind kind, int from, long epoch, int sequence, int target, GossipUpdate... updates) {
    return new GossipMessage(kind, from, epoch, 0, sequence, target, 0, List.of(updates));
  }
}
