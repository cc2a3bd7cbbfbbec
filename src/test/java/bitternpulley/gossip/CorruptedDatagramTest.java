package bitternpulley.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.leases.LeaseMessage;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.GossipUpdate;
import bitternpulley.membership.MemberMetadata;
import bitternpulley.membership.MemberPayload;
import bitternpulley.membership.MemberState;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Datagrams that were changed on the way: none is accepted, and decoding throws nothing else. */
class CorruptedDatagramTest {
  private static final long SEED = 1;
  private static final int DATAGRAMS = 1_000_000;
  private static final int MAX_CHANGED_BYTES = 4;
  private static final long EPOCH = 1_700_000_000_000L;

  private final GossipCodec codec = new GossipCodec("test");
  private final SplittableRandom random = new SplittableRandom(SEED);

  private List<byte[]> datagrams() {
    MemberMetadata metadata = new MemberMetadata("n1", "gulberg", "punjab", "4663fa7");
    MemberPayload payload = new MemberPayload(3, new byte[] {1, 0, 68, 1, 2, 3, 4});
    GossipUpdate alive = new GossipUpdate(1, EPOCH, 0, MemberState.ALIVE, -1, metadata);
    GossipUpdate left = new GossipUpdate(2, EPOCH, 3, MemberState.LEFT, -1, null, payload);
    BitSet holders = new BitSet();
    holders.set(0, 20);
    return List.of(
        codec.encode(gossip(GossipMessage.Kind.PING, List.of())),
        codec.encode(gossip(GossipMessage.Kind.ACK, List.of(left))),
        codec.encode(gossip(GossipMessage.Kind.SYNC, List.of(alive, left))),
        codec.encode(new LeaseMessage.LeaseRequest(3, EPOCH, 17)),
        codec.encode(new LeaseMessage.LeaseGrant(4, 17, 1234, holders)));
  }

  private static GossipMessage gossip(GossipMessage.Kind kind, List<GossipUpdate> updates) {
    return new GossipMessage(kind, 3, EPOCH, 1, 4000, 1, -12345, 99, updates);
  }

  /** Regression: a changed bit in an integer was read as another integer. */
  @Test
  void noneOfAMillionIsAccepted() {
    List<byte[]> datagrams = datagrams();
    int dropped = 0;
    for (int index = 0; index < DATAGRAMS; index++) {
      byte[] sent = datagrams.get(random.nextInt(datagrams.size()));
      byte[] received = corrupt(sent);
      dropped += Arrays.equals(sent, received) || isDropped(received) ? 1 : 0;
    }
    assertEquals(DATAGRAMS, dropped);
  }

  /** Changes some bytes, and of one in ten cuts the end off or makes it longer. */
  private byte[] corrupt(byte[] datagram) {
    byte[] corrupted = datagram.clone();
    for (int changes = 1 + random.nextInt(MAX_CHANGED_BYTES); changes > 0; changes--) {
      corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
    }
    return random.nextInt(10) == 0
        ? Arrays.copyOf(corrupted, 1 + random.nextInt(GossipCodec.MAX_DATAGRAM_BYTES))
        : corrupted;
  }

  private boolean isDropped(byte[] received) {
    try {
      codec.decode(received, received.length);
    } catch (DatagramException rejected) {
      return true;
    }
    System.err.println("accepted " + HexFormat.of().formatHex(received));
    return false;
  }

  /** Every single change of a byte that leaves the datagram readable is found by the checksum. */
  @Test
  void noSingleChangedByteIsAccepted() {
    for (byte[] datagram : datagrams()) {
      for (int position = 0; position < datagram.length; position++) {
        for (int change = 1; change < 256; change++) {
          byte[] received = datagram.clone();
          received[position] ^= (byte) change;
          assertTrue(isDropped(received), "position " + position + ", change " + change);
        }
      }
    }
  }
}
