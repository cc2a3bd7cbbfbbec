package bitternpulley.broker;

import bitternpulley.contracts.UsageCharge;
import bitternpulley.routing.Router;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * The requests without a final answer, and the parts that belong to one of them or have an attempt
 * in flight. Holds state only; the reducer's handlers make the decisions and update it.
 */
final class PendingRequests {
  private final Map<Long, PendingRequest> requests = new HashMap<>();
  private final Map<Long, PendingPart> parts = new HashMap<>();
  private long nextPart = 1;
  private int missingParts;

  /**
   * Adds a request. Its parts are added by {@link #addPart}.
   *
   * @param charge the charge under the request's contract; null if no contracts are in force
   * @param timeLeft how long the client waits, in ms; the time that the request was unread is
   *     subtracted
   */
  PendingRequest add(Request request, UsageCharge charge, double timeLeft, double now) {
    PendingRequest pending = new PendingRequest(request, charge, nextPart, timeLeft, now);
    requests.put(request.id(), pending);
    nextPart += pending.partCount();
    missingParts += pending.partCount();
    return pending;
  }

  /** Adds the part at this position of a request and returns the part's id. */
  long addPart(PendingRequest request, int index) {
    long id = request.firstPart() + index;
    parts.put(id, new PendingPart(request, index));
    return id;
  }

  /** All requests without a final answer. */
  Collection<PendingRequest> requests() {
    return requests.values();
  }

  /** The request with this id; null if it is finished or unknown. */
  PendingRequest request(long id) {
    return requests.get(id);
  }

  /**
   * All parts of pending requests, and parts of finished requests that have an attempt in flight.
   */
  Collection<PendingPart> parts() {
    return parts.values();
  }

  /** The part with this id, or null. */
  PendingPart part(long id) {
    return parts.get(id);
  }

  /** The part of this attempt if the attempt is in flight, otherwise null. */
  PendingPart partInFlight(AttemptId attempt) {
    PendingPart part = parts.get(attempt.part());
    return part != null && part.hasAttemptInFlight() && part.attemptInFlight().id().equals(attempt)
        ? part
        : null;
  }

  /** Number of requests plus their parts without a value, to which the site's limit applies. */
  int count() {
    return requests.size() + missingParts;
  }

  /** Records the value of a part. */
  void recordValue(PendingPart part, Payload value) {
    if (part.request().recordValue(part.index(), value) && !isFinished(part)) {
      missingParts--;
    }
  }

  /** Whether the request of a part has its final answer or its client disconnected. */
  boolean isFinished(PendingPart part) {
    return !requests.containsKey(part.request().id());
  }

  /** The parts of a request that have an attempt in flight that was not cancelled. */
  List<PendingPart> partsWithActiveAttempt(PendingRequest request) {
    return IntStream.range(0, request.partCount())
        .mapToObj(index -> part(request.firstPart() + index))
        .filter(part -> part != null && part.hasActiveAttempt())
        .toList();
  }

  /** The id of the request that an attempt belongs to; empty if the part no longer exists. */
  Optional<Long> requestIdOf(AttemptId attempt) {
    return Optional.ofNullable(parts.get(attempt.part())).map(part -> part.request().id());
  }

  /** Removes a request; returns null if it is already finished. */
  PendingRequest remove(long id) {
    PendingRequest request = requests.remove(id);
    if (request != null) {
      missingParts -= request.missingParts();
      for (int index = 0; index < request.partCount(); index++) {
        removePartIfDone(request.firstPart() + index);
      }
    }
    return request;
  }

  /** Removes a part whose request is finished and that has no attempt in flight. */
  void removePartIfDone(long id) {
    PendingPart part = parts.get(id);
    if (part != null && !part.hasAttemptInFlight() && isFinished(part)) {
      parts.remove(id);
    }
  }

  /** The final state of a request that ends now, with the parts that have no value. */
  Effect.Answer.FinalState finalState(PendingRequest request, double now) {
    TreeMap<Integer, Effect.Answer.MissingPart> missing = new TreeMap<>();
    boolean mayHaveRun = false;
    for (int index = 0; index < request.partCount(); index++) {
      PendingPart part = part(request.firstPart() + index);
      if (part != null && !request.hasValue(index)) {
        missing.put(index, part.toMissingPart());
      }
      mayHaveRun |= part != null && part.mayHaveRun();
    }
    boolean timedOut = request.isTimedOut(now) || allUnanswered(missing.values());
    return new Effect.Answer.FinalState(timedOut, mayHaveRun, missing);
  }

  /**
   * Whether no server answered any of these parts. Such a request is ended somewhat before its
   * deadline, when no answer can arrive in time any more, and counts as timed out as well.
   */
  private static boolean allUnanswered(Collection<Effect.Answer.MissingPart> missing) {
    return !missing.isEmpty()
        && missing.stream()
            .map(Effect.Answer.MissingPart::outcome)
            .allMatch(
                outcome ->
                    outcome == Router.Outcome.TIMEOUT || outcome == Router.Outcome.CANCELLED);
  }
}
