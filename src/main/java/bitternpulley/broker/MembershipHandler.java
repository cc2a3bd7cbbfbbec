package bitternpulley.broker;

import bitternpulley.leases.LeaseMessage;
import bitternpulley.leases.Leases;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.Membership;
import bitternpulley.membership.MembershipAction;
import java.util.List;
import java.util.Optional;

/**
 * Handles the events of membership and leases and turns the resulting actions and messages into
 * effects. Events of membership or leases are ignored while the respective feature is off.
 */
final class MembershipHandler {
  private final ReductionContext context;

  /** Null while membership is off. */
  private Membership membership;

  /** Null while this instance uses its configured quota. */
  private Leases leases;

  MembershipHandler(ReductionContext context) {
    this.context = context;
  }

  Optional<Membership> membership() {
    return Optional.ofNullable(membership);
  }

  Optional<Leases> leases() {
    return Optional.ofNullable(leases);
  }

  /** Starts to use leases, from which the quota of this instance is derived. */
  void useLeases(Leases started) {
    leases = started;
  }

  /** Turns membership on, and starts the leases if this instance uses them. */
  void startMembership(Membership started) {
    membership = started;
    if (leases != null) {
      leases.start(membership.epoch(), context.now());
    }
  }

  /** Runs the periodic step of membership and leases. */
  void tick() {
    if (membership == null) {
      return;
    }
    emitMembershipActions(membership.tick(context.now()));
    if (leases != null) {
      emitLeaseMessages(leases.tick(context.now()));
    }
  }

  /** Handles a gossip message from another member. */
  void gossipReceived(GossipMessage message) {
    if (membership != null) {
      emitMembershipActions(membership.onMessage(message, context.now()));
    }
  }

  /** Handles a lease message from another member. */
  void leaseMessageReceived(LeaseMessage message) {
    if (leases != null) {
      emitLeaseMessages(leases.onMessage(message, context.now()));
    }
  }

  /** Tells the other members that this instance leaves, and stops requesting leases. */
  void leave() {
    if (membership == null) {
      return;
    }
    emitMembershipActions(membership.leave(context.now()));
    if (leases != null) {
      leases.stop();
    }
  }

  private void emitMembershipActions(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        context.emit(new Effect.SendGossip(send.to(), send.message()));
      } else if (action instanceof MembershipAction.MemberIgnored ignored) {
        context.emit(new Effect.WarnOfIgnoredMember(ignored));
      } else if (!(action instanceof MembershipAction.PayloadReceived)) {
        context.emit(new Effect.Log(action.toString()));
      }
    }
  }

  private void emitLeaseMessages(List<Leases.OutgoingMessage> messages) {
    for (Leases.OutgoingMessage outgoing : messages) {
      context.emit(new Effect.SendLeaseMessage(outgoing.to(), outgoing.message()));
    }
  }
}
