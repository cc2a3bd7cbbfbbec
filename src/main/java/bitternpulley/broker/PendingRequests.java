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
 * The requests without a final answer, and the parts that still matter: those of pending requests
 * and those with an attempt in flight. Keeps state only; the reducer's handlers decide nothing here
 * and change it as events ask.
 */
final class PendingRequests {
  private final Map<Long, PendingRequest> requests = new HashMap<>();
  private final Map<Long, PendingPart> parts = new HashMap<>();
  private long nextPart = 1;
  private int missingParts;

  /**
   * Adds a request; its parts follow by {@link #addPart}.
   *
   * @param charge the charge under the request's contract; null where none is in force
   * @param timeLeft ms until its deadline
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

  /** The request with this id; null where it is finished or unknown. */
  PendingRequest request(long id) {
    return requests.get(id);
  }

  /** All parts that still matter, also of finished requests. */
  Collection<PendingPart> parts() {
    return parts.values();
  }

  /** The part with this id, or null. */
  PendingPart part(long id) {
    return parts.get(id);
  }

  /** The part of this attempt if the attempt is in flight, else null. */
  PendingPart partInFlight(AttemptId attempt) {
    PendingPart part = parts.get(attempt.part());
    return part != null && part.hasAttemptInFlight() && part.attemptInFlight().id().equals(attempt)
        ? part
        : null;
  }

  /** Requests plus their parts without a value, which is what the site's limit counts. */
  int count() {
    return requests.size() + missingParts;
  }

  /** Records the value of a part. */
  void recordValue(PendingPart part, Payload value) {
    if (part.request().recordValue(part.index(), value) && !isFinished(part)) {
      missingParts--;
    }
  }

  /** Whether the request of a part has its final answer or lost its client. */
  boolean isFinished(PendingPart part) {
    return !requests.containsKey(part.request().id());
  }

  /** The parts of a request with an attempt in flight that was not cancelled. */
  List<PendingPart> partsWithActiveAttempt(PendingRequest request) {
    return IntStream.range(0, request.partCount())
        .mapToObj(index -> part(request.firstPart() + index))
        .filter(part -> part != null && part.hasActiveAttempt())
        .toList();
  }

  /** The id of the request that an attempt belongs to; empty where its part no longer exists. */
  Optional<Long> requestOf(AttemptId attempt) {
    return Optional.ofNullable(parts.get(attempt.part())).map(part -> part.request().id());
  }

  /** Removes a request; returns null where it is finished already. */
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

  /** Describes a request that is to end without an answer. */
  Effect.Answer.Ending ending(PendingRequest request, double now) {
    TreeMap<Integer, Effect.Answer.MissingPart> missing = new TreeMap<>();
    boolean mayHaveRun = false;
    for (int index = 0; index < request.partCount(); index++) {
      PendingPart part = part(request.firstPart() + index);
      if (part != null && !request.hasValue(index)) {
        missing.put(index, part.asMissing());
      }
      mayHaveRun |= part != null && part.mayHaveRun();
    }
    boolean timedOut = request.isTimedOut(now) || allUnanswered(missing.values());
    return new Effect.Answer.Ending(timedOut, mayHaveRun, missing);
  }

  /**
   * Whether no server answered any of these. Such a request was given up somewhat early, when no
   * answer could arrive in time any more, and counts as timed out too.
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
