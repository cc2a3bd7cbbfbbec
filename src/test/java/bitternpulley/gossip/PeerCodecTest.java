package bitternpulley.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.broker.Event;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.leases.LeaseTerms;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.GossipUpdate;
import bitternpulley.membership.MemberMetadata;
import bitternpulley.membership.MemberPayload;
import bitternpulley.membership.MemberState;
import bitternpulley.membership.Membership;
import bitternpulley.membership.MembershipAction;
import bitternpulley.membership.MembershipSettings;
import bitternpulley.membership.ReachabilityReport;
import java.io.IOException;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PeerCodecTest {
  private static final double NOW = 1.8e12;
  private final GossipCodec codec = new GossipCodec("test");

  private static Membership member() {
    return new Membership(
        2047,
        new MemberMetadata(
            "a-name-of-24-characters!",
            "a-zone-of-24-characters!",
            "a-region-of-24-character",
            "a-build-of-24-characters"),
        (long) NOW,
        IntStream.range(0, 40).boxed().toList(),
        MembershipSettings.DEFAULT,
        1,
        NOW);
  }

  private static List<GossipMessage> sent(List<MembershipAction> outputs) {
    return outputs.stream()
        .filter(o -> o instanceof MembershipAction.Send)
        .map(o -> ((MembershipAction.Send) o).message())
        .toList();
  }

  /**
   * Whatever the state machine sends fits a datagram and is read back as it was, with the longest
   * names and numbers.
   */
  @Property(tries = 100)
  void allThatIsSentFitsAndIsReadBack(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    Membership m = member();
    double now = NOW;
    for (int i = 0; i < 200; i++) {
      now += 100;
      List<GossipMessage> out = new java.util.ArrayList<>(sent(m.tick(now)));
      int from = random.nextInt(40);
      GossipUpdate about =
          new GossipUpdate(
              random.nextInt(2048),
              (long) now - random.nextInt(1000),
              random.nextInt(1_000_000),
              MemberState.values()[random.nextInt(4)],
              random.nextInt(2048),
              random.nextBoolean()
                  ? null
                  : new MemberMetadata(
                      "another-name-of-24-chars",
                      "another-zone-of-24-chars",
                      "another-region-of-24-c",
                      "another-build"),
              random.nextBoolean()
                  ? null
                  : new MemberPayload(
                      i + 1, new byte[random.nextInt(MemberPayload.MAX_BYTES + 1)]));
      if (i % 20 == 0) {
        byte[] slot = new byte[ReachabilityReport.MAX_PAYLOAD_BYTES];
        random.nextBytes(slot);
        m.publish(slot);
      }
      out.addAll(
          sent(
              m.onMessage(
                  new GossipMessage(
                      GossipMessage.Kind.values()[random.nextInt(5)],
                      from,
                      (long) NOW,
                      i,
                      i,
                      from,
                      random.nextInt(),
                      List.of(about)),
                  now)));
      for (GossipMessage message : out) {
        byte[] bytes = codec.encode(message);
        assertTrue(bytes.length <= GossipCodec.MAX_DATAGRAM_BYTES);
        assertEquals(new Event.GossipReceived(message), codec.decode(bytes, bytes.length).event());
      }
    }
  }

  /** A datagram of chance is no message, or a message that the state machine bears. */
  @Property
  void whateverComesIsRefusedOrBorne(@ForAll @Size(max = 300) byte[] bytes) {
    take(bytes);
  }

  /** The same for a good one with some bytes changed, which comes far further in. */
  @Property(tries = 2000)
  void aChangedMessageIsRefusedOrBorne(@ForAll long seed) {
    Random random = new Random(seed);
    GossipMessage good = sent(member().tick(NOW + 2000)).get(0);
    byte[] bytes = codec.encode(good);
    for (int i = 0; i <= random.nextInt(3); i++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    take(bytes);
  }

  /** Of the most members a datagram can name, and with the longest numbers. */
  @Test
  void whatConcernsLeasesFitsAndIsReadBack() throws IOException {
    BitSet all = new BitSet();
    all.set(0, LeaseTerms.MAX_MEMBERS);
    for (LeaseMessage m :
        List.of(
            new LeaseMessage.LeaseRequest(1499, Long.MAX_VALUE, Integer.MAX_VALUE),
            new LeaseMessage.LeaseGrant(1499, Integer.MAX_VALUE, 600_000, all),
            new LeaseMessage.LeaseGrant(0, 1, 0, new BitSet()))) {
      byte[] bytes = codec.encode(m);
      assertTrue(bytes.length <= GossipCodec.MAX_DATAGRAM_BYTES);
      assertEquals(
          new GossipCodec.Datagram(m.from(), new Event.LeaseMessageReceived(m)),
          codec.decode(bytes, bytes.length));
    }
    BitSet beyond = new BitSet();
    beyond.set(LeaseTerms.MAX_MEMBERS);
    byte[] bytes = codec.encode(new LeaseMessage.LeaseGrant(0, 1, 0, beyond));
    assertThrows(MalformedDatagramException.class, () -> codec.decode(bytes, bytes.length));
  }

  private void take(byte[] bytes) {
    Event event;
    try {
      event = codec.decode(bytes, bytes.length).event();
    } catch (IOException e) {
      return;
    }
    if (!(event instanceof Event.GossipReceived said)) {
      return;
    }
    GossipMessage message = said.message();
    Membership m =
        new Membership(
            1,
            new MemberMetadata("n1", "z", "r", "b"),
            (long) NOW,
            List.of(0, 1, 2),
            MembershipSettings.DEFAULT,
            1,
            NOW);
    m.onMessage(message, NOW);
    m.tick(NOW + 100);
    assertEquals(3, m.members().size());
    assertTrue(m.members().stream().noneMatch(v -> v.state() == MemberState.DEAD));
  }

  @Test
  void anotherDeploymentOrVersionIsForeign() {
    byte[] bytes =
        codec.encode(new GossipMessage(GossipMessage.Kind.PING, 1, 5, 0, 1, 0, 0, List.of()));
    assertThrows(
        ForeignDatagramException.class, () -> new GossipCodec("other").decode(bytes, bytes.length));
    bytes[1] = 2;
    assertThrows(ForeignDatagramException.class, () -> codec.decode(bytes, bytes.length));
  }
}
