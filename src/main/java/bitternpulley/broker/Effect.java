package bitternpulley.broker;

import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.MembershipAction;
import bitternpulley.routing.Router;
import java.util.List;
import java.util.Map;

/** An output of the core: an action to carry out. */
public sealed interface Effect {
  /** Calls the method of the handler for this kind of effect. */
  void dispatch(EffectHandler handler);

  /**
   * Send an attempt of a part to a server.
   *
   * @param partIndex the position of the part in its request
   * @param timeout ms until the attempt is cancelled
   * @param sendBy time in ms by which the first byte has to be sent; otherwise the attempt ends as
   *     not sent, because the idempotency window keeps running while a retry waits for a connection
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
   * Send at least two attempts of one protocol to one server, as one call if the protocol has
   * shared calls.
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
   * Cancel an attempt of a finished request unless a byte of it was sent. Used at sites that forbid
   * cancellation.
   */
  record CancelUnsent(AttemptId id, Request request) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onCancelUnsent(this);
    }
  }

  /**
   * Cancel the attempts to a server of which no byte was sent, since the server accepts no new
   * work.
   */
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

  /** Submit an event at the given time in ms. */
  record ScheduleEvent(double time, Event event) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onScheduleEvent(this);
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

  /** Tell an operator that a command cannot be carried out. */
  record RejectCommand(Payload caller, String reason) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onRejectCommand(this);
    }
  }

  /**
   * Quiesce this instance, which closes each client connection after its next response, or resume
   * it.
   */
  record Quiesce(boolean enabled) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onQuiesce(this);
    }
  }

  /** Record the admission decision on a request under the contracts in force. */
  record AdmissionDecided(long requestId, AdmissionDecision decision) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onAdmissionDecided(this);
    }
  }

  /**
   * Record that the charge of a request is settled: no attempt of the request is in flight any
   * more.
   */
  record ChargeSettled(UsageCharge charge) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onChargeSettled(this);
    }
  }

  /**
   * Send a gossip message to the aggregator with the number {@code to}; the message may be lost.
   */
  record SendGossip(int to, GossipMessage message) implements Effect {
    @Override
    public void dispatch(EffectHandler handler) {
      handler.onSendGossip(this);
    }
  }

  /** Send a lease message to the aggregator with the number {@code to}; the message may be lost. */
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
     * An answer made of the values that have arrived.
     *
     * @param complete whether the answer counts as complete
     * @param values the values, by position of their parts
     * @param missing the parts without a value, by position
     */
    record Answered(
        boolean complete, Map<Integer, Payload> values, Map<Integer, MissingPart> missing)
        implements Answer {}

    /**
     * The request was rejected; a retry is safe.
     *
     * @param retryAfter ms that the client is advised to wait before a retry; 0 for no advice
     * @param contract the decision if a contract rejected the request; null if the routing policy
     *     did
     */
    record Rejected(double retryAfter, FinalState finalState, AdmissionDecision.Rejected contract)
        implements Answer {
      /** A rejection by the routing policy. */
      public Rejected(double retryAfter, FinalState finalState) {
        this(retryAfter, finalState, null);
      }
    }

    /** The request failed; servers may have run some of its parts. */
    record Failed(FinalState finalState) implements Answer {}

    /** The request failed because a server found the request itself invalid. */
    record InvalidRequest(Payload reason) implements Answer {}

    /**
     * The final state of a request that ends without an answer.
     *
     * @param timedOut whether the request counts as timed out
     * @param mayHaveRun whether a server may have run some of its parts
     * @param missing the parts without a value, by position
     */
    record FinalState(boolean timedOut, boolean mayHaveRun, Map<Integer, MissingPart> missing) {
      /** The state of a request of which nothing was sent. */
      public static final FinalState NOTHING_SENT = new FinalState(false, false, Map.of());
    }

    /**
     * A part without a value: the outcome and the server of its last attempt, and the payload that
     * came with the outcome. Outcome and payload are null while an attempt is in flight; all three
     * are null if no attempt was sent.
     */
    record MissingPart(Router.Outcome outcome, String server, Payload reason) {}
  }
}
