package bitternpulley.broker;

import java.util.Map;

/** What the core asks the outside to do. */
public sealed interface Effect {
  /** Send an attempt of the slice {@code slice} of a request to a server, which may take {@code timeout} ms. */
  record Start(AttemptId id, Request request, int slice, String server, double timeout) implements Effect {}

  /** Stop waiting for an attempt. */
  record Abandon(AttemptId id, Request request, String server) implements Effect {}

  /** Deliver the final answer. */
  record Reply(Request request, Answer answer) implements Effect {}

  /** Hand an event back at a time. */
  record WakeAt(double time, Event event) implements Effect {}

  /** Close the idle connections to a server. */
  record CloseIdle(String server) implements Effect {}

  /** Probe a server. */
  record Probe(String server) implements Effect {}

  /** Write a line to the log. */
  record Log(String text) implements Effect {}

  /** The final answer of a request. */
  sealed interface Answer {
    /** Answered from the slices that are in, by their position in the request. */
    record Answered(boolean whole, Map<Integer, Payload> values) implements Answer {}

    /** Refused: asking again is harmless, best after {@code pause} ms (0: no advice). */
    record Refused(double pause) implements Answer {}

    /** Failed, with no promise about what has run; {@code late} when its time had run out. */
    record Failed(boolean late) implements Answer {}
  }
}
