package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The parts in flight on one connection, by attempt and by id on the wire, and the ids of those
 * that were cancelled or answered recently.
 */
final class PartsInFlight {
  private static final int MAX_CANCELLED_IDS = 256;
  private static final int MAX_ANSWERED_IDS = 32;

  private final Map<AttemptId, SlotCall.Part> parts = new LinkedHashMap<>();
  private final Map<String, AttemptId> attemptsByPartId = new HashMap<>();
  private final Set<SlotCall> calls = new LinkedHashSet<>();

  /**
   * All attempts at a part share its id. After a cancellation the next one needs another
   * connection, where a late result of the cancelled one cannot be mistaken for its own.
   */
  private final BoundedRecentSet cancelledIds = new BoundedRecentSet(MAX_CANCELLED_IDS);

  /** A result that repeats one of these is a duplicate, which does no harm. */
  private final BoundedRecentSet answeredIds = new BoundedRecentSet(MAX_ANSWERED_IDS);

  boolean isEmpty() {
    return parts.isEmpty();
  }

  int size() {
    return parts.size();
  }

  /** The number of calls with parts in flight. */
  int callCount() {
    return calls.size();
  }

  boolean contains(AttemptId attempt) {
    return parts.containsKey(attempt);
  }

  SlotCall.Part get(AttemptId attempt) {
    return parts.get(attempt);
  }

  /** The attempt in flight at the part with this id; null where there is none. */
  AttemptId attemptAt(String partId) {
    return attemptsByPartId.get(partId);
  }

  /** A copy of the attempts, oldest first. */
  List<AttemptId> attempts() {
    return List.copyOf(parts.keySet());
  }

  /** A copy of the parts, oldest first. */
  List<SlotCall.Part> parts() {
    return List.copyOf(parts.values());
  }

  /** A copy of the calls, oldest first. */
  List<SlotCall> calls() {
    return List.copyOf(calls);
  }

  /** Whether none of these ids was used by a part in flight or by one cancelled recently. */
  boolean areUnused(List<String> partIds) {
    return partIds.stream()
        .noneMatch(id -> cancelledIds.contains(id) || attemptsByPartId.containsKey(id));
  }

  /** Adds these attempts as one call and returns it. */
  SlotCall add(List<Effect.StartAttempt> attempts) {
    SlotCall call = new SlotCall();
    for (Effect.StartAttempt attempt : attempts) {
      SlotCall.Part part = call.add(attempt);
      parts.put(attempt.id(), part);
      attemptsByPartId.put(part.id(), attempt.id());
    }
    calls.add(call);
    return call;
  }

  /** Removes a part, and its call with the last of them. */
  void remove(AttemptId attempt) {
    SlotCall.Part part = parts.remove(attempt);
    part.call().remove(attempt);
    if (part.call().isEmpty()) {
      calls.remove(part.call());
    }
    attemptsByPartId.remove(part.id(), attempt);
  }

  void clear() {
    parts.clear();
    attemptsByPartId.clear();
    calls.clear();
  }

  void noteCancelled(String partId) {
    cancelledIds.add(partId);
  }

  void noteAnswered(String partId) {
    answeredIds.add(partId);
  }

  /**
   * Accepts a result for a part that is not in flight: one late result of a cancelled part, or a
   * duplicate. Returns false where it is neither.
   */
  boolean acceptStrayResult(String partId) {
    return cancelledIds.remove(partId) || answeredIds.contains(partId);
  }

  /**
   * The attempt whose result these bytes were most likely meant to be: the only one in flight, or
   * the only one whose id they hold; null where several may be meant.
   */
  AttemptId attributeTo(String received) {
    if (parts.size() == 1) {
      return parts.keySet().iterator().next();
    }
    List<AttemptId> named = new ArrayList<>();
    for (SlotCall.Part part : parts.values()) {
      if (received.contains(part.id() + " ")) {
        named.add(part.attempt().id());
      }
    }
    return named.size() == 1 ? named.get(0) : null;
  }
}
