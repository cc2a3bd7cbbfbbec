package bitternpulley.broker;

import bitternpulley.contracts.ContractSet;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.leases.Leases;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.Membership;
import bitternpulley.routing.Router;
import java.util.List;

/** An input of the core that describes something that happened. */
public sealed interface Event {
  /** Calls the method of the handler for this kind of event. */
  void dispatch(EventHandler handler);

  /** An event of one attempt. */
  sealed interface AttemptEvent extends Event {
    /** The attempt that the event is about. */
    AttemptId attempt();
  }

  /** A request was received completely. */
  record RequestReceived(Request request) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onRequestReceived(this);
    }
  }

  /** The client of a request disconnected. */
  record ClientDisconnected(long requestId) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onClientDisconnected(this);
    }
  }

  /** Discovery sent an endpoint list or a change to it. */
  record ServersChanged(Router.EndpointListKind kind, List<Router.Endpoint> endpoints)
      implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onServersChanged(this);
    }
  }

  /**
   * An attempt ended on its own; {@code value} is the result, an explanation of the failure, or
   * null.
   */
  record AttemptEnded(AttemptId attempt, Router.Outcome outcome, Payload value)
      implements AttemptEvent {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onAttemptEnded(this);
    }
  }

  /** A server found the request itself invalid, so that no other server would accept it. */
  record RequestRejectedByServer(AttemptId attempt, Payload reason) implements AttemptEvent {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onRequestRejectedByServer(this);
    }
  }

  /** The cancellation of an attempt is done: its server was notified, or never received it. */
  record AttemptCancelled(AttemptId attempt) implements AttemptEvent {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onAttemptCancelled(this);
    }
  }

  /**
   * The deadline of a request passed. Scheduled for requests that the routing policy may have
   * failed to finish.
   */
  record RequestDeadlineExpired(long requestId) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onRequestDeadlineExpired(this);
    }
  }

  /** An attempt was not sent because a limit on attempts forbids it. */
  record AttemptNotSent(AttemptId attempt, String server) implements AttemptEvent {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onAttemptNotSent(this);
    }
  }

  /**
   * An attempt timed out; other attempts of the same request may have timed out as well.
   *
   * @param attempt the attempt that the alarm was set for
   * @param firstPart the id of the request's first part; the other parts have the ids that follow
   * @param partCount the number of parts of the request
   */
  record AttemptTimedOut(AttemptId attempt, long firstPart, int partCount) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onAttemptTimedOut(this);
    }

    /** A timeout that concerns only the part of the attempt. */
    public AttemptTimedOut(AttemptId attempt) {
      this(attempt, attempt.part(), 1);
    }
  }

  /** An operator sent a command; {@code caller} identifies the connection for the answer. */
  record OperatorCommandReceived(OperatorOverrides.OperatorCommand command, Payload caller)
      implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onOperatorCommandReceived(this);
    }
  }

  /** The operator overrides in force changed and are stored. */
  record OverridesChanged(OperatorOverrides overrides) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onOverridesChanged(this);
    }
  }

  /** A hot restart began or ended; {@code role} is the role of the other process. */
  record HotRestartRoleChanged(Router.HotRestartRole role) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onHotRestartRoleChanged(this);
    }
  }

  /** This process did not run for {@code pausedMs} ms until now. */
  record ProcessPaused(double pausedMs) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onProcessPaused(this);
    }
  }

  /** New contracts are in force from now on. */
  record ContractsActivated(ContractSet contracts) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onContractsActivated(this);
    }
  }

  /** From now on the quota of this instance is derived from its leases; it holds none yet. */
  record LeasesStarted(Leases leases) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onLeasesStarted(this);
    }
  }

  /** Membership of the fleet starts. */
  record MembershipStarted(Membership membership) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onMembershipStarted(this);
    }
  }

  /** The periodic step of membership, due every {@link Membership#tickInterval} ms. */
  record MembershipTick() implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onMembershipTick(this);
    }
  }

  /** A gossip message was received from another aggregator. */
  record GossipReceived(GossipMessage message) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onGossipReceived(this);
    }
  }

  /** A lease message was received from another aggregator. */
  record LeaseMessageReceived(LeaseMessage message) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onLeaseMessageReceived(this);
    }
  }

  /** This instance is to leave the membership. */
  record MembershipLeaveRequested() implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onMembershipLeaveRequested(this);
    }
  }

  /** An alarm that the routing policy set is due. */
  record AlarmFired(String token) implements Event {
    @Override
    public void dispatch(EventHandler handler) {
      handler.onAlarmFired(this);
    }
  }
}
