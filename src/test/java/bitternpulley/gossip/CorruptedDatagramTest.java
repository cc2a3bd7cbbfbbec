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

/**
 * Checks that no corrupted datagram is accepted, and that decoding one throws nothing but {@link
 * DatagramException}.
 */
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
        codec.encode(gossipMessage(GossipMessage.Kind.PING, List.of())),
        codec.encode(gossipMessage(GossipMessage.Kind.ACK, List.of(left))),
        codec.encode(gossipMessage(GossipMessage.Kind.SYNC, List.of(alive, left))),
        codec.encode(new LeaseMessage.LeaseRequest(3, EPOCH, 17)),
        codec.encode(new LeaseMessage.LeaseGrant(4, 17, 1234, holders)));
  }

  private static GossipMessage gossipMessage(GossipMessage.Kind kind, List<GossipUpdate> updates) {
    return new GossipMessage(kind, 3, EPOCH, 1, 4000, 1, -12345, 99, updates);
  }

  /** Regression: an integer with a flipped bit was decoded as another integer. */
  @Test
  void rejectsRandomlyCorruptedDatagrams() {
    List<byte[]> datagrams = datagrams();
    int rejectedCount = 0;
    for (int index = 0; index < DATAGRAMS; index++) {
      byte[] sent = datagrams.get(random.nextInt(datagrams.size()));
      byte[] received = corrupt(sent);
      rejectedCount += Arrays.equals(sent, received) || isRejected(received) ? 1 : 0;
    }
    assertEquals(DATAGRAMS, rejectedCount);
  }

  /** Changes up to four bytes, and truncates or extends one in ten datagrams. */
  private byte[] corrupt(byte[] datagram) {
    byte[] corrupted = datagram.clone();
    for (int changes = 1 + random.nextInt(MAX_CHANGED_BYTES); changes > 0; changes--) {
      corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
    }
    return random.nextInt(10) == 0
        ? Arrays.copyOf(corrupted, 1 + random.nextInt(GossipCodec.MAX_DATAGRAM_BYTES))
        : corrupted;
  }

  private boolean isRejected(byte[] received) {
    try {
      codec.decode(received, received.length);
    } catch (DatagramException rejected) {
      return true;
    }
    System.err.println("accepted " + HexFormat.of().formatHex(received));
    return false;
  }

  /** Changes that leave the datagram decodable are detected by the checksum. */
  @Test
  void rejectsEverySingleByteChange() {
    for (byte[] datagram : datagrams()) {
      for (int position = 0; position < datagram.length; position++) {
        for (int change = 1; change < 256; change++) {
          byte[] received = datagram.clone();
          received[position] ^= (byte) change;
          assertTrue(isRejected(received), "position " + position + ", change " + change);
        }
      }
    }
  }
}
