package bitternpulley.broker;

import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.MembershipAction;
import bitternpulley.routing.Router;
import java.util.List;
import java.util.Map;

/** An output of the core: something to carry out. */
public sealed interface Effect {
  /** Calls the method of the handler for this kind of effect. */
  void dispatch(EffectHandler handler);

  /**
   * Send an attempt of a part to a server.
   *
   * @param partIndex the position of the part in its request
   * @param timeout ms until the attempt is cancelled
   * @param sendBy time in ms by which its first byte has to be sent; else it ends as not sent,
   *     since the idempotency window goes on while a retry waits for a connection
   */
  record StartAttempt(
      AttemptId id, Request request, int partIndex, String server, double timeout, double sendBy)
      implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onStartAttempt(this);
    }

    /** An attempt that may be sent at any time. */
    public StartAttempt(
        AttemptId id, Request request, int partIndex, String server, double timeout) {
      this(id, request, partIndex, server, timeout, Double.POSITIVE_INFINITY);
    }
  }

  /**
   * Send attempts to one server as one call, where the dialect has shared calls; at least two, all
   * of one dialect.
   */
  record StartCall(List<StartAttempt> attempts) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onStartCall(this);
    }
  }

  /** Cancel an attempt. */
  record CancelAttempt(AttemptId id, Request request, String server) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onCancelAttempt(this);
    }
  }

  /**
   * Cancel an attempt of a finished request unless a byte of it was sent, at sites that forbid
   * cancellation.
   */
  record CancelUnsent(AttemptId id, Request request) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onCancelUnsent(this);
    }
  }

  /** Cancel the attempts to a server of which nothing was sent, since it accepts no new work. */
  record CancelUnsentTo(String server) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onCancelUnsentTo(this);
    }
  }

  /** Deliver the final answer of a request. */
  record Reply(Request request, Answer answer) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onReply(this);
    }
  }

  /** Submit an event at a time in ms. */
  record WakeAt(double time, Event event) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onWakeAt(this);
    }
  }

  /** Close the idle connections to a server. */
  record CloseIdleConnections(String server) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onCloseIdleConnections(this);
    }
  }

  /** Store an operator override, then answer its caller. */
  record PersistOverride(OperatorOverrides.OperatorCommand command, Payload caller)
      implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onPersistOverride(this);
    }
  }

  /** Answer an operator that a command cannot be carried out. */
  record RejectCommand(Payload caller, String reason) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onRejectCommand(this);
    }
  }

  /** Send clients away, or serve them again. */
  record Quiesce(boolean enabled) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onQuiesce(this);
    }
  }

  /** Record what the contracts in force decided on a request, given by its id. */
  record AdmissionDecided(long requestId, AdmissionDecision decision) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onAdmissionDecided(this);
    }
  }

  /** Record that the charge of a request is settled: none of its attempts is in flight any more. */
  record ChargeSettled(UsageCharge charge) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onChargeSettled(this);
    }
  }

  /** Send a gossip message to another aggregator, given by its number; it may be lost. */
  record SendGossip(int to, GossipMessage message) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onSendGossip(this);
    }
  }

  /** Send a message on leases to another aggregator, given by its number; it may be lost. */
  record SendLeaseMessage(int to, LeaseMessage message) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onSendLeaseMessage(this);
    }
  }

  /** Warn operators that all messages of another aggregator are ignored. */
  record WarnOfIgnoredMember(MembershipAction.MemberIgnored member) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onWarnOfIgnoredMember(this);
    }
  }

  /** Write a log line. */
  record Log(String text) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onLog(this);
    }
  }

  /** The final answer of a request. */
  sealed interface Answer {
    /**
     * Answered from the values that arrived.
     *
     * @param complete whether the answer counts as complete
     * @param values the values by position of their parts
     * @param missing the other parts by position
     */
    record Answered(
        boolean complete, Map<Integer, Payload> values, Map<Integer, MissingPart> missing)
        implements Answer {}

    /**
     * Rejected: a retry is safe.
     *
     * @param retryAfter ms that the client is to wait before it; 0 gives no advice
     * @param contract the decision where a contract rejected it; null where the routing policy did
     */
    record Rejected(double retryAfter, Ending ending, AdmissionDecision.Rejected contract)
        implements Answer {
      /** Rejected by the routing policy. */
      public Rejected(double retryAfter, Ending ending) {
        this(retryAfter, ending, null);
      }
    }

    /** Failed: servers may have run some of it. */
    record Failed(Ending ending) implements Answer {}

    /** Failed since a server found the request itself invalid. */
    record InvalidRequest(Payload reason) implements Answer {}

    /**
     * The state of a request that ends without an answer.
     *
     * @param timedOut whether it counts as timed out
     * @param mayHaveRun whether a server may have run some of it
     * @param missing the parts without a value, by position
     */
    record Ending(boolean timedOut, boolean mayHaveRun, Map<Integer, MissingPart> missing) {
      /** The state of a request of which nothing was sent. */
      public static final Ending NOTHING_SENT = new Ending(false, false, Map.of());
    }

    /**
     * A part without a value: the end of its last attempt, with the payload that came with it. The
     * outcome is null while an attempt is in flight; all are null where none was sent.
     */
    record MissingPart(Router.Outcome outcome, String server, Payload reason) {}
  }
}
