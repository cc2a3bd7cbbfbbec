package bitternpulley.broker;

import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.membership.GossipMessage;
import bitternpulley.routing.Router;
import java.util.List;
import java.util.Map;

/** What the core asks the outside to do. */
public sealed interface Effect {
  /**
   * Send an attempt of the slice {@code partIndex} of a request to a server, which may take {@code
   * timeout} ms. Where not a byte of it can go by the time {@code sendBy}, it ends unsent: a
   * repeated part may wait for a connection, and its window goes on.
   */
  record StartAttempt(
      AttemptId id, Request request, int partIndex, String server, double timeout, double sendBy)
      implements Effect {
    /** One that may be sent at any time. */
    public StartAttempt(AttemptId id, Request request, int slice, String server, double timeout) {
      this(id, request, slice, server, timeout, Double.POSITIVE_INFINITY);
    }
  }

  /**
   * Send attempts to one server as one call, where the wire has such; at least two, all of one
   * dialect.
   */
  record StartCall(List<StartAttempt> attempts) implements Effect {}

  /** Stop waiting for an attempt. */
  record CancelAttempt(AttemptId id, Request request, String server) implements Effect {}

  /**
   * Take back an attempt that serves nobody any more, if not a byte of it has gone: what has gone
   * may not be called off here.
   */
  record CancelUnsent(AttemptId id, Request request) implements Effect {}

  /** Take back what has not begun to go to a server, which is to have nothing new. */
  record CancelUnsentTo(String server) implements Effect {}

  /** Deliver the final answer. */
  record Reply(Request request, Answer answer) implements Effect {}

  /** Hand an event back at a time. */
  record WakeAt(double time, Event event) implements Effect {}

  /** Close the idle connections to a server. */
  record CloseIdleConnections(String server) implements Effect {}

  /** Keep an operator's order, then tell its caller. */
  record PersistOverride(OperatorOverrides.Override override, Payload caller) implements Effect {}

  /** Tell an operator that an order cannot be carried out. */
  record RejectCommand(Payload caller, String reason) implements Effect {}

  /** Send clients away, or take them again. */
  record Quiesce(boolean on) implements Effect {}

  /**
   * Note what the contracts in force made of a request: with the event that asked, all that a
   * replay needs.
   */
  record AdmissionDecided(long request, AdmissionDecision decision) implements Effect {}

  /** Note that a request's charge is settled: nothing of it is out any more. */
  record ChargeSettled(UsageCharge charge) implements Effect {}

  /** Tell another aggregator something, which may be lost. */
  record SendGossip(int to, GossipMessage message) implements Effect {}

  /** Ask another aggregator for a lease, or grant it one, which may be lost. */
  record SendLeaseMessage(int to, LeaseMessage message) implements Effect {}

  /** Write a line to the log. */
  record Log(String text) implements Effect {}

  /** The final answer of a request. */
  sealed interface Answer {
    /**
     * Answered from the slices that are in, by their position; the others by what became of them.
     */
    record Answered(
        boolean complete, Map<Integer, Payload> values, Map<Integer, MissingPart> missing)
        implements Answer {}

    /**
     * Refused: asking again is harmless, best after {@code retryAfter} ms (0: no advice). {@code
     * contract} tells what was met where a contract refused it; null where the module did.
     */
    record Rejected(double retryAfter, Ending ending, AdmissionDecision.Rejected contract)
        implements Answer {
      /** Refused by the module. */
      public Rejected(double pause, Ending ending) {
        this(pause, ending, null);
      }
    }

    /** Failed, with no promise about what has run. */
    record Failed(Ending ending) implements Answer {}

    /** Failed since the request itself is at fault, as a server found. */
    record InvalidRequest(Payload reason) implements Answer {}

    /** How things stood at an end without an answer. */
    record Ending(boolean late, boolean mayHaveRun, Map<Integer, MissingPart> missing) {
      /** Nothing of it was sent. */
      public static final Ending NOTHING_SENT = new Ending(false, false, Map.of());
    }

    /**
     * A slice that is not in: how its last attempt ended and what came with that; all null while
     * none has.
     */
    record MissingPart(Router.Outcome outcome, String server, Payload reason) {}
  }
}
