package bitternpulley.membership;

import static org.testng.Assert.assertTrue;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * What one member asks out of turn while others tell it of ever new suspects, all of which answer.
 */
public class CheckBudgetTest {
  private static final int MEMBERS = 200;
  private static final long EPOCH = 1_000_000;
  private static final double SECONDS = 20;

  /**
   * Probes of the round, one an interval of a second, and those out of turn that the budget has:
   * eight, and one an interval.
   */
  private static final int MOST = (int) (SECONDS + 8 + SECONDS) + 2;

  private static GossipMessage message(
      Kind kind, int from, int sequence, int target, List<GossipUpdate> updates) {
    return new GossipMessage(kind, from, EPOCH, 0, sequence, target, 0, 0, updates);
  }

  /**
   * Guards against checks that go with the square of the members where a lossy network has somebody
   * suspect at any time.
   */
  @Test
  public void suspectsThatAnswerAreAskedWithinABudget() {
    double now = 1e9;
    Membership member =
        new Membership(
            0,
            new MemberMetadata("n0", "z", "r", "b"),
            EPOCH,
            IntStream.range(0, MEMBERS).boxed().toList(),
            MembershipSettings.DEFAULT,
            1,
            now);
    for (int i = 1; i < MEMBERS; i++) {
      member.onMessage(message(Kind.SYNC, i, 0, 0, List.of()), now);
    }
    int asked = 0;
    int said = 0;
    for (double end = now + 1000 * SECONDS; now < end; now += member.tickInterval()) {
      List<MembershipAction> out = new ArrayList<>(member.tick(now));
      int teller = 1 + said % (MEMBERS - 1);
      int suspect = 1 + (said + MEMBERS / 2) % (MEMBERS - 1);
      said++;
      out.addAll(
          member.onMessage(
              message(
                  Kind.SYNC,
                  teller,
                  0,
                  0,
                  List.of(new GossipUpdate(suspect, EPOCH, 0, MemberState.SUSPECT, teller, null))),
              now));
      for (MembershipAction o : out) {
        if (o instanceof MembershipAction.Send s && s.message().kind() == Kind.PING) {
          asked++;
          member.onMessage(
              message(Kind.ACK, s.to(), s.message().sequence(), s.to(), List.of()), now + 1);
        }
      }
    }
    assertTrue(asked <= MOST, asked + " probes in " + SECONDS + " s, of " + MOST);
    assertTrue(asked >= SECONDS, "the round goes on: " + asked);
  }
}
