package bitternpulley.membership;

import static org.testng.Assert.assertTrue;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests the budget for checks, which are probes that a member sends outside its rounds. */
public class CheckBudgetTest {
  private static final int MEMBERS = 200;
  private static final long EPOCH = 1_000_000;
  private static final double START = 1e9;
  private static final double DURATION_S = 20;
  private static final double INITIAL_BUDGET = 8;

  /**
   * Round probes, one per interval of 1 s, plus checks, which have an initial budget and gain one
   * per interval.
   */
  private static final int MAX_PROBES = (int) (DURATION_S + INITIAL_BUDGET + DURATION_S) + 2;

  private static Membership memberThatKnowsAll() {
    Membership member =
        new Membership(
            0,
            new MemberMetadata("n0", "z", "r", "b"),
            EPOCH,
            IntStream.range(0, MEMBERS).boxed().toList(),
            MembershipSettings.DEFAULT,
            1,
            START);
    for (int number = 1; number < MEMBERS; number++) {
      member.onMessage(GossipMessages.sync(number, EPOCH), START);
    }
    return member;
  }

  /** A report by one member that another is suspect; each index gives a different pair. */
  private static GossipMessage suspicionReport(int index) {
    int reporter = 1 + index % (MEMBERS - 1);
    int suspect = 1 + (index + MEMBERS / 2) % (MEMBERS - 1);
    return GossipMessages.sync(
        reporter, EPOCH, new GossipUpdate(suspect, EPOCH, 0, MemberState.SUSPECT, reporter, null));
  }

  @Test
  public void limitsChecksOfRespondingSuspectsToBudget() {
    Membership member = memberThatKnowsAll();
    int probes = 0;
    int reports = 0;
    double end = START + 1000 * DURATION_S;
    for (double now = START; now < end; now += member.tickInterval()) {
      List<MembershipAction> actions = new ArrayList<>(member.tick(now));
      actions.addAll(member.onMessage(suspicionReport(reports), now));
      reports++;
      for (MembershipAction action : actions) {
        if (action instanceof MembershipAction.Send send && send.message().kind() == Kind.PING) {
          probes++;
          member.onMessage(
              GossipMessages.ack(send.to(), EPOCH, send.message().sequence()), now + 1);
        }
      }
    }
    assertTrue(
        probes <= MAX_PROBES, probes + " probes in " + DURATION_S + " s, at most " + MAX_PROBES);
    assertTrue(probes >= DURATION_S, "round probes must continue: " + probes);
  }
}
