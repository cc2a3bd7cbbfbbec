package bitternpulley.broker;

import bitternpulley.leases.Leases;
import bitternpulley.membership.Membership;
import bitternpulley.membership.MembershipAction;
import java.util.List;
import java.util.Optional;

/**
 * What the core holds of the other aggregators: who is here, and which part of what all may do
 * together is this one's.
 */
final class ClusterState {
  private Membership membership;
  private Leases leases;

  /**
   * Takes an event of the other aggregators; what is to be done comes behind the effects so far.
   */
  void apply(Event event, double now, List<Effect> effects) {
    if (event instanceof Event.LeasesStarted e) {
      leases = e.leases();
    } else if (event instanceof Event.MembershipStarted e) {
      membership = e.membership();
      if (leases != null) {
        leases.start(membership.epoch(), now);
      }
    } else if (event instanceof Event.MembershipTick && membership != null) {
      told(membership.tick(now), effects);
      lent(leases == null ? List.of() : leases.tick(now), effects);
    } else if (event instanceof Event.GossipReceived e && membership != null) {
      told(membership.onMessage(e.message(), now), effects);
    } else if (event instanceof Event.LeaseMessageReceived e && leases != null) {
      lent(leases.onMessage(e.message(), now), effects);
    } else if (event instanceof Event.MembershipLeaveRequested && membership != null) {
      told(membership.leave(now), effects);
      if (leases != null) {
        leases.stop();
      }
    }
  }

  private static void told(List<MembershipAction> outputs, List<Effect> effects) {
    for (MembershipAction o : outputs) {
      if (o instanceof MembershipAction.Send s) {
        effects.add(new Effect.SendGossip(s.to(), s.message()));
      } else if (!(o instanceof MembershipAction.PayloadReceived)) {
        effects.add(new Effect.Log(o.toString()));
      }
    }
  }

  private static void lent(List<Leases.OutgoingMessage> sends, List<Effect> effects) {
    sends.forEach(s -> effects.add(new Effect.SendLeaseMessage(s.to(), s.message())));
  }

  Optional<Membership> membership() {
    return Optional.ofNullable(membership);
  }

  Optional<Leases> leases() {
    return Optional.ofNullable(leases);
  }
}
