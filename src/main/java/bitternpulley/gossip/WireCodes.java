package bitternpulley.gossip;

import bitternpulley.membership.GossipMessage.Kind;
import bitternpulley.membership.MemberState;

/** Maps message kinds and member states to their numbers in datagrams. */
final class WireCodes {
  private WireCodes() {}

  static int encode(Kind kind) {
    return switch (kind) {
      case PING -> 0;
      case ACK -> 1;
      case RELAY -> 2;
      case NACK -> 3;
      case SYNC -> 4;
    };
  }

  static Kind decodeKind(int code) throws MalformedDatagramException {
    return switch (code) {
      case 0 -> Kind.PING;
      case 1 -> Kind.ACK;
      case 2 -> Kind.RELAY;
      case 3 -> Kind.NACK;
      case 4 -> Kind.SYNC;
      default -> throw new MalformedDatagramException("unknown message kind " + code);
    };
  }

  static int encode(MemberState state) {
    return switch (state) {
      case ALIVE -> 0;
      case SUSPECT -> 1;
      case DEAD -> 2;
      case LEFT -> 3;
    };
  }

  static MemberState decodeState(int code) throws MalformedDatagramException {
    return switch (code) {
      case 0 -> MemberState.ALIVE;
      case 1 -> MemberState.SUSPECT;
      case 2 -> MemberState.DEAD;
      case 3 -> MemberState.LEFT;
      default -> throw new MalformedDatagramException("unknown member state " + code);
    };
  }
}
