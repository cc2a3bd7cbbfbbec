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
 * Datagrams between aggregators, byte for byte as recorded: versions of this program meet in one
 * fleet.
 */
class DatagramBytesTest {
  private static final Path RECORDED = Path.of("src/test/resources/edges/datagrams.txt");

  private static final Path RECORDED_WITHOUT_CHECKSUM =
      Path.of("src/test/resources/edges/datagrams-without-checksum.txt");

  /** The checksum with the header of its byte string. */
  private static final int CHECKSUM_BYTES = 5;

  private static List<GossipMessage> gossip() {
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

  private static List<LeaseMessage> leases() {
    BitSet members = new BitSet();
    members.set(0, 3);
    members.set(77);
    return List.of(
        new LeaseMessage.LeaseRequest(3, 1_700_000_000_555L, 17),
        new LeaseMessage.LeaseGrant(4, 17, 1234.2, members),
        new LeaseMessage.LeaseGrant(4, 18, 0, new BitSet()));
  }

  private static List<String> lines(Path file) throws IOException {
    return Files.readString(file).trim().lines().toList();
  }

  private static byte[] bytesOf(String line) {
    return HexFormat.of().parseHex(line.substring(line.indexOf(' ') + 1));
  }

  /** An upgrade: builds before the checksum read no element behind those that they know. */
  @Test
  void areThoseOfEarlierBuildsWithAChecksumAsOneElementMore() throws IOException {
    List<String> now = lines(RECORDED);
    List<String> before = lines(RECORDED_WITHOUT_CHECKSUM);
    assertEquals(before.size(), now.size());
    for (int index = 0; index < now.size(); index++) {
      byte[] expected = bytesOf(before.get(index));
      expected[0]++; // the array's header, with its number of elements
      byte[] datagram = bytesOf(now.get(index));
      assertArrayEquals(expected, Arrays.copyOf(datagram, datagram.length - CHECKSUM_BYTES));
    }
  }

  /** An upgrade: datagrams of builds before the checksum are accepted. */
  @Test
  void thoseOfEarlierBuildsAreReadAsBefore() throws IOException {
    GossipCodec codec = new GossipCodec("lahore-booking");
    List<Event> expected = new ArrayList<>();
    gossip().forEach(message -> expected.add(new Event.GossipReceived(message)));
    leases().forEach(message -> expected.add(new Event.LeaseMessageReceived(message)));
    List<Event> decoded = new ArrayList<>();
    for (String line : lines(RECORDED_WITHOUT_CHECKSUM)) {
      byte[] bytes = bytesOf(line);
      decoded.add(codec.decode(bytes, bytes.length).event());
    }
    assertEquals(expected.subList(0, gossip().size()), decoded.subList(0, gossip().size()));
    assertEquals(expected.size(), decoded.size());
  }

  @Test
  void areEncodedAsRecordedAndReadBack() throws IOException {
    GossipCodec codec = new GossipCodec("lahore-booking");
    List<String> encoded = new ArrayList<>();
    for (GossipMessage message : gossip()) {
      byte[] bytes = codec.encode(message);
      encoded.add("gossip " + HexFormat.of().formatHex(bytes));
      assertEquals(new Event.GossipReceived(message), codec.decode(bytes, bytes.length).event());
    }
    for (LeaseMessage message : leases()) {
      encoded.add("lease " + HexFormat.of().formatHex(codec.encode(message)));
    }
    assertEquals(Files.readString(RECORDED).trim(), String.join("\n", encoded));
  }
}
