package bitternpulley.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.broker.Event;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.GossipUpdate;
import bitternpulley.membership.MemberMetadata;
import bitternpulley.membership.MemberPayload;
import bitternpulley.membership.MemberState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares datagrams between aggregators with recorded bytes, because different versions of this
 * program run in one fleet.
 */
class DatagramBytesTest {
  private static final Path RECORDED = Path.of("src/test/resources/edges/datagrams.txt");

  private static final Path RECORDED_WITHOUT_CHECKSUM =
      Path.of("src/test/resources/edges/datagrams-without-checksum.txt");

  /** Length of the checksum, including the header of its byte string. */
  private static final int CHECKSUM_BYTES = 5;

  private static List<GossipMessage> gossipMessages() {
    List<GossipMessage> messages = new ArrayList<>();
    List<GossipMessage.Kind> kinds = List.of(GossipMessage.Kind.values());
    List<MemberState> states = List.of(MemberState.values());
    for (int kind = 0; kind < 5; kind++) {
      List<GossipUpdate> updates = new ArrayList<>();
      for (int state = 0; state < 4; state++) {
        updates.add(
            new GossipUpdate(
                state * 300,
                1_700_000_000_000L + state,
                state,
                states.get(state),
                state - 1,
                state % 2 == 0 ? null : new MemberMetadata("node", "zone", "region", "build"),
                state < 2 ? null : new MemberPayload(state, new byte[] {1, 2, (byte) 200})));
      }
      messages.add(
          new GossipMessage(
              kinds.get(kind),
              7,
              1_700_000_000_123L,
              2,
              4000 + kind,
              11,
              -12345,
              99,
              updates.subList(0, kind)));
    }
    return messages;
  }

  private static List<LeaseMessage> leaseMessages() {
    BitSet members = new BitSet();
    members.set(0, 3);
    members.set(77);
    return List.of(
        new LeaseMessage.LeaseRequest(3, 1_700_000_000_555L, 17),
        new LeaseMessage.LeaseGrant(4, 17, 1234.2, members),
        new LeaseMessage.LeaseGrant(4, 18, 0, new BitSet()));
  }

  private static List<String> readLines(Path file) throws IOException {
    return Files.readString(file).trim().lines().toList();
  }

  private static byte[] parseBytes(String line) {
    return HexFormat.of().parseHex(line.substring(line.indexOf(' ') + 1));
  }

  /**
   * Compatibility during an upgrade: builds that predate the checksum read no element after those
   * that they know.
   */
  @Test
  void addsOnlyTheChecksumElementToDatagramsOfEarlierBuilds() throws IOException {
    List<String> withChecksum = readLines(RECORDED);
    List<String> withoutChecksum = readLines(RECORDED_WITHOUT_CHECKSUM);
    assertEquals(withoutChecksum.size(), withChecksum.size());
    for (int index = 0; index < withChecksum.size(); index++) {
      byte[] expected = parseBytes(withoutChecksum.get(index));
      expected[0]++; // the array header, which contains the number of elements
      byte[] datagram = parseBytes(withChecksum.get(index));
      assertArrayEquals(expected, Arrays.copyOf(datagram, datagram.length - CHECKSUM_BYTES));
    }
  }

  /** Compatibility during an upgrade: earlier builds send datagrams without a checksum. */
  @Test
  void decodesDatagramsOfEarlierBuilds() throws IOException {
    GossipCodec codec = new GossipCodec("lahore-booking");
    List<Event> expected = new ArrayList<>();
    gossipMessages().forEach(message -> expected.add(new Event.GossipReceived(message)));
    leaseMessages().forEach(message -> expected.add(new Event.LeaseMessageReceived(message)));
    List<Event> decoded = new ArrayList<>();
    for (String line : readLines(RECORDED_WITHOUT_CHECKSUM)) {
      byte[] bytes = parseBytes(line);
      decoded.add(codec.decode(bytes, bytes.length).event());
    }
    assertEquals(
        expected.subList(0, gossipMessages().size()), decoded.subList(0, gossipMessages().size()));
    assertEquals(expected.size(), decoded.size());
  }

  @Test
  void encodesAsRecordedAndDecodesUnchanged() throws IOException {
    GossipCodec codec = new GossipCodec("lahore-booking");
    List<String> encoded = new ArrayList<>();
    for (GossipMessage message : gossipMessages()) {
      byte[] bytes = codec.encode(message);
      encoded.add("gossip " + HexFormat.of().formatHex(bytes));
      assertEquals(new Event.GossipReceived(message), codec.decode(bytes, bytes.length).event());
    }
    for (LeaseMessage message : leaseMessages()) {
      encoded.add("lease " + HexFormat.of().formatHex(codec.encode(message)));
    }
    assertEquals(Files.readString(RECORDED).trim(), String.join("\n", encoded));
  }
}
