package bitternpulley.broker;

import bitternpulley.contracts.ContractBook;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.leases.Leases;
import bitternpulley.membership.Membership;
import bitternpulley.membership.Message;
import bitternpulley.routing.Router;
import java.util.List;

/** What can happen to the core. */
public sealed interface Event {
  /** What concerns one attempt. */
  sealed interface OfAttempt extends Event {
    AttemptId attempt();
  }

  /** A request has come in whole. */
  record Taken(Request request) implements Event {}

  /** The client of a request has left. */
  record ClientLeft(long request) implements Event {}

  /** Discovery has told a list of servers or a change. */
  record ServersListed(Router.ListKind kind, List<Router.Endpoint> members) implements Event {}

  /** An attempt has ended by itself; {@code value} is what it brought, or null. */
  record Ended(AttemptId attempt, Router.Outcome outcome, Payload value) implements OfAttempt {}

  /** A server finds fault with the request itself: no other would take it either. */
  record Faulted(AttemptId attempt, Payload reason) implements OfAttempt {}

  /** A server has been told that an attempt is given up, or was never asked. */
  record Abandoned(AttemptId attempt) implements OfAttempt {}

  /**
   * A request's time is over, and deciding on something of it may have failed: it must have its
   * answer all the same.
   */
  record TimeExpired(long request) implements Event {}

  /** An attempt was never sent, since the rules forbid it. */
  record Unsent(AttemptId attempt, String server) implements OfAttempt {}

  /**
   * An attempt's time is over; it is one of a request's, whose parts have the numbers from {@code
   * first} on.
   */
  record Overdue(AttemptId attempt, long first, int parts) implements Event {
    /** Of an attempt alone. */
    public Overdue(AttemptId attempt) {
      this(attempt, attempt.part(), 1);
    }
  }

  /** An operator has ordered something; {@code caller} is for the answer. */
  record Ordered(OperatorOrders.Order order, Payload caller) implements Event {}

  /** What now stands of the operators' orders, as it is kept. */
  record OrdersChanged(OperatorOrders standing) implements Event {}

  /** Another process of this aggregator runs at the same time, or none does any more. */
  record UpgradePeerChanged(Router.HotRestartRole other) implements Event {}

  /** Other contracts are in force from now on. */
  record Agreed(ContractBook book) implements Event {}

  /**
   * From now on this instance's part of what all may do together goes by leases, of which it has
   * none yet.
   */
  record LeasesApply(Leases leases) implements Event {}

  /**
   * From now on there are other aggregators, and this instance's part in finding out who of them is
   * here.
   */
  record PeersBegin(Membership membership) implements Event {}

  /** Membership's beat, which is due each {@link Membership#tickEvery} ms. */
  record PeersTick() implements Event {}

  /** Another aggregator has said something. */
  record PeerSaid(Message message) implements Event {}

  /** Another aggregator asks for a lease, or grants one. */
  record LeaseSaid(LeaseMessage message) implements Event {}

  /** This instance is to tell the others that it goes. */
  record PeersLeave() implements Event {}

  /** An alarm that the module set is due. */
  record Alarm(String token) implements Event {}
}
