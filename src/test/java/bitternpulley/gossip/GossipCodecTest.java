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
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class GossipCodecTest {
  private static final double NOW = 1.8e12;
  private static final int MAX_NUMBER = 2047;
  private static final int MEMBERS = 40;

  private static final List<MemberState> STATES = List.of(MemberState.values());
  private static final List<GossipMessage.Kind> KINDS = List.of(GossipMessage.Kind.values());

  private final GossipCodec codec = new GossipCodec("test");

  /** Returns a member with the largest number and the longest metadata possible. */
  private static Membership memberWithLongestMetadata() {
    return new Membership(
        MAX_NUMBER,
        new MemberMetadata(
            "a-name-of-24-characters!",
            "a-zone-of-24-characters!",
            "a-region-of-24-character",
            "a-build-of-24-characters"),
        (long) NOW,
        IntStream.range(0, MEMBERS).boxed().toList(),
        MembershipSettings.DEFAULT,
        1,
        NOW);
  }

  private static List<GossipMessage> sentMessages(List<MembershipAction> actions) {
    return actions.stream()
        .filter(action -> action instanceof MembershipAction.Send)
        .map(action -> ((MembershipAction.Send) action).message())
        .toList();
  }

  @Property(tries = 100)
  void everyMembershipMessageFitsADatagramAndIsDecodedUnchanged(@ForAll long seed)
      throws DatagramException {
    Random random = new Random(seed);
    Membership membership = memberWithLongestMetadata();
    double now = NOW;
    for (int step = 0; step < 200; step++) {
      now += 100;
      List<GossipMessage> sent = new ArrayList<>(sentMessages(membership.tick(now)));
      int from = random.nextInt(MEMBERS);
      GossipUpdate update = randomUpdate(random, step, now);
      if (step % 20 == 0) {
        byte[] payload = new byte[ReachabilityReport.MAX_PAYLOAD_BYTES];
        random.nextBytes(payload);
        membership.publish(payload);
      }
      GossipMessage received = randomMessage(random, from, step, update);
      sent.addAll(sentMessages(membership.onMessage(received, now)));
      for (GossipMessage message : sent) {
        assertFitsAndIsDecodedUnchanged(message);
      }
    }
  }

  private static GossipUpdate randomUpdate(Random random, int step, double now) {
    return new GossipUpdate(
        random.nextInt(MAX_NUMBER + 1),
        (long) now - random.nextInt(1000),
        random.nextInt(1_000_000),
        STATES.get(random.nextInt(4)),
        random.nextInt(MAX_NUMBER + 1),
        random.nextBoolean()
            ? null
            : new MemberMetadata(
                "another-name-of-24-chars",
                "another-zone-of-24-chars",
                "another-region-of-24-c",
                "another-build"),
        random.nextBoolean()
            ? null
            : new MemberPayload(step + 1, new byte[random.nextInt(MemberPayload.MAX_BYTES + 1)]));
  }

  private static GossipMessage randomMessage(
      Random random, int from, int step, GossipUpdate update) {
    return new GossipMessage(
        KINDS.get(random.nextInt(5)),
        from,
        (long) NOW,
        step,
        step,
        from,
        random.nextInt(),
        List.of(update));
  }

  private void assertFitsAndIsDecodedUnchanged(GossipMessage message) throws DatagramException {
    byte[] bytes = codec.encode(message);
    assertTrue(bytes.length <= GossipCodec.MAX_DATAGRAM_BYTES);
    assertEquals(new Event.GossipReceived(message), codec.decode(bytes, bytes.length).event());
  }

  @Property
  void randomBytesAreRejectedOrHarmless(@ForAll @Size(max = 300) byte[] bytes) {
    assertRejectedOrHarmless(bytes);
  }

  /** A valid message with changed bytes is decoded further than random bytes. */
  @Property(tries = 2000)
  void corruptedMessageIsRejectedOrHarmless(@ForAll long seed) {
    Random random = new Random(seed);
    GossipMessage valid = sentMessages(memberWithLongestMetadata().tick(NOW + 2000)).get(0);
    byte[] bytes = codec.encode(valid);
    for (int change = 0; change <= random.nextInt(3); change++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    assertRejectedOrHarmless(bytes);
  }

  private void assertRejectedOrHarmless(byte[] bytes) {
    Event event;
    try {
      event = codec.decode(bytes, bytes.length).event();
    } catch (DatagramException rejected) {
      return;
    }
    if (!(event instanceof Event.GossipReceived received)) {
      return;
    }
    Membership membership =
        new Membership(
            1,
            new MemberMetadata("n1", "z", "r", "b"),
            (long) NOW,
            List.of(0, 1, 2),
            MembershipSettings.DEFAULT,
            1,
            NOW);
    membership.onMessage(received.message(), NOW);
    membership.tick(NOW + 100);
    assertEquals(3, membership.members().size());
    assertTrue(
        membership.members().stream().noneMatch(member -> member.state() == MemberState.DEAD));
  }

  @Test
  void longestLeaseMessagesFitADatagramAndAreDecodedUnchanged() throws DatagramException {
    BitSet allMembers = new BitSet();
    allMembers.set(0, LeaseTerms.MAX_MEMBERS);
    for (LeaseMessage message :
        List.of(
            new LeaseMessage.LeaseRequest(1499, Long.MAX_VALUE, Integer.MAX_VALUE),
            new LeaseMessage.LeaseGrant(1499, Integer.MAX_VALUE, 600_000, allMembers),
            new LeaseMessage.LeaseGrant(0, 1, 0, new BitSet()))) {
      byte[] bytes = codec.encode(message);
      assertTrue(bytes.length <= GossipCodec.MAX_DATAGRAM_BYTES);
      assertEquals(
          new GossipCodec.Datagram(message.from(), new Event.LeaseMessageReceived(message)),
          codec.decode(bytes, bytes.length));
    }
  }

  @Test
  void rejectsLeaseHolderBeyondTheLargestFleet() {
    BitSet holders = new BitSet();
    holders.set(LeaseTerms.MAX_MEMBERS);
    byte[] bytes = codec.encode(new LeaseMessage.LeaseGrant(0, 1, 0, holders));
    assertThrows(MalformedDatagramException.class, () -> codec.decode(bytes, bytes.length));
  }

  @Test
  void rejectsDatagramOfAnotherDeploymentAsForeign() {
    byte[] bytes = codec.encode(ping());
    GossipCodec otherDeployment = new GossipCodec("other");
    assertThrows(ForeignDatagramException.class, () -> otherDeployment.decode(bytes, bytes.length));
  }

  @Test
  void rejectsDatagramOfAnotherProtocolVersionAsForeign() {
    byte[] bytes = codec.encode(ping());
    int versionPosition = 1;
    bytes[versionPosition] = 2;
    assertThrows(ForeignDatagramException.class, () -> codec.decode(bytes, bytes.length));
  }

  private static GossipMessage ping() {
    return new GossipMessage(GossipMessage.Kind.PING, 1, 5, 0, 1, 0, 0, List.of());
  }
}
