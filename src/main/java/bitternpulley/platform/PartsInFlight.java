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
 * Tracks the parts in flight on one connection, by attempt and by id on the wire, and remembers the
 * ids of parts that were cancelled or answered recently.
 */
final class PartsInFlight {
  private static final int MAX_CANCELLED_IDS = 256;
  private static final int MAX_ANSWERED_IDS = 32;

  private final Map<AttemptId, SlotCall.Part> parts = new LinkedHashMap<>();
  private final Map<String, AttemptId> attemptsByPartId = new HashMap<>();
  private final Set<SlotCall> calls = new LinkedHashSet<>();

  /**
   * All attempts at a part use the same id on the wire. After a cancellation, the next attempt has
   * to use another connection, so that a late result of the cancelled attempt cannot be mistaken
   * for the result of the next one.
   */
  private final BoundedRecentSet cancelledIds = new BoundedRecentSet(MAX_CANCELLED_IDS);

  /** A further result for one of these ids is a harmless duplicate. */
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

  /** Returns the attempt in flight at the part with this id, or null if there is none. */
  AttemptId attemptFor(String partId) {
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

  /**
   * Returns whether none of these ids belongs to a part in flight or to a recently cancelled part.
   */
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

  /** Removes a part, and also its call if no other part of the call remains. */
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

  void recordCancelled(String partId) {
    cancelledIds.add(partId);
  }

  void recordAnswered(String partId) {
    answeredIds.add(partId);
  }

  /**
   * Accepts a result for a part that is not in flight, if it is the first late result of a
   * cancelled part or a duplicate. Returns false otherwise.
   */
  boolean acceptUnmatchedResult(String partId) {
    return cancelledIds.remove(partId) || answeredIds.contains(partId);
  }

  /**
   * Finds the attempt whose result these bytes were most likely meant to be: the only attempt in
   * flight, or the only one whose part id occurs in the bytes. Returns null if there is no such
   * attempt.
   */
  AttemptId findAttemptByResult(String received) {
    if (parts.size() == 1) {
      return parts.keySet().iterator().next();
    }
    List<AttemptId> candidates = new ArrayList<>();
    for (SlotCall.Part part : parts.values()) {
      if (received.contains(part.id() + " ")) {
        candidates.add(part.attempt().id());
      }
    }
    return candidates.size() == 1 ? candidates.get(0) : null;
  }
}
