package bitternpulley.broker;

import bitternpulley.contracts.ContractBook;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.leases.Leases;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.Membership;
import bitternpulley.routing.Router;
import java.util.List;

/** What can happen to the core. */
public sealed interface Event {
  /** What concerns one attempt. */
  sealed interface AttemptEvent extends Event {
    AttemptId attempt();
  }

  /** A request has come in whole. */
  record RequestReceived(Request request) implements Event {}

  /** The client of a request has left. */
  record ClientDisconnected(long request) implements Event {}

  /** Discovery has told a list of servers or a change. */
  record ServersChanged(Router.ListKind kind, List<Router.Endpoint> endpoints) implements Event {}

  /** An attempt has ended by itself; {@code value} is what it brought, or null. */
  record AttemptEnded(AttemptId attempt, Router.Outcome outcome, Payload value)
      implements AttemptEvent {}

  /** A server finds fault with the request itself: no other would take it either. */
  record RequestRejectedByServer(AttemptId attempt, Payload reason) implements AttemptEvent {}

  /** A server has been told that an attempt is given up, or was never asked. */
  record AttemptCancelled(AttemptId attempt) implements AttemptEvent {}

  /**
   * A request's time is over, and deciding on something of it may have failed: it must have its
   * answer all the same.
   */
  record RequestDeadlineExpired(long request) implements Event {}

  /** An attempt was never sent, since the rules forbid it. */
  record AttemptNotSent(AttemptId attempt, String server) implements AttemptEvent {}

  /**
   * An attempt's time is over; it is one of a request's, whose parts have the numbers from {@code
   * first} on.
   */
  record AttemptTimedOut(AttemptId attempt, long firstPart, int parts) implements Event {
    /** Of an attempt alone. */
    public AttemptTimedOut(AttemptId attempt) {
      this(attempt, attempt.part(), 1);
    }
  }

  /** An operator has ordered something; {@code caller} is for the answer. */
  record OperatorCommandReceived(OperatorOverrides.Override override, Payload caller)
      implements Event {}

  /** What now stands of the operators' orders, as it is kept. */
  record OverridesChanged(OperatorOverrides overrides) implements Event {}

  /** Another process of this aggregator runs at the same time, or none does any more. */
  record HotRestartRoleChanged(Router.HotRestartRole role) implements Event {}

  /** Other contracts are in force from now on. */
  record ContractsActivated(ContractBook book) implements Event {}

  /**
   * From now on this instance's part of what all may do together goes by leases, of which it has
   * none yet.
   */
  record LeasesStarted(Leases leases) implements Event {}

  /**
   * From now on there are other aggregators, and this instance's part in finding out who of them is
   * here.
   */
  record MembershipStarted(Membership membership) implements Event {}

  /** Membership's beat, which is due each {@link Membership#tickInterval} ms. */
  record MembershipTick() implements Event {}

  /** Another aggregator has said something. */
  record GossipReceived(GossipMessage message) implements Event {}

  /** Another aggregator asks for a lease, or grants one. */
  record LeaseMessageReceived(LeaseMessage message) implements Event {}

  /** This instance is to tell the others that it goes. */
  record MembershipLeaveRequested() implements Event {}

  /** An alarm that the module set is due. */
  record AlarmFired(String token) implements Event {}
}
