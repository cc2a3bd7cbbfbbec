package bitternpulley.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Joins the attempts that one event sends to the same server into shared calls. A server charges
 * for each call in addition to the work of its parts ({@code domain.call} of the settings), and one
 * call holds up to {@code domain.bundleMax} parts.
 */
final class CallBatcher {
  /** The destination of a call; attempts of different dialects never share one. */
  private record Destination(String server, Dialect dialect) {}

  private CallBatcher() {}

  /**
   * Joins the attempts to each server into calls, each at the position of its first attempt.
   * Attempts only move forward, so that a cancellation still follows the attempt it cancels.
   *
   * @param maxPartsPerCall the most attempts of a call; up to 1 nothing is joined
   */
  static List<Effect> join(List<Effect> effects, int maxPartsPerCall) {
    if (maxPartsPerCall <= 1) {
      return effects;
    }
    List<Effect> joined = new ArrayList<>();
    Map<Destination, List<Effect.StartAttempt>> openCalls = new LinkedHashMap<>();
    for (Effect effect : effects) {
      if (effect instanceof Effect.StartAttempt start) {
        addToCall(start, maxPartsPerCall, openCalls, joined);
      } else {
        joined.add(effect);
      }
    }
    joined.replaceAll(CallBatcher::withoutCallOfOne);
    return joined;
  }

  private static void addToCall(
      Effect.StartAttempt start,
      int maxPartsPerCall,
      Map<Destination, List<Effect.StartAttempt>> openCalls,
      List<Effect> joined) {
    Destination destination = new Destination(start.server(), start.request().dialect());
    List<Effect.StartAttempt> call = openCalls.get(destination);
    if (call == null || call.size() == maxPartsPerCall) {
      call = new ArrayList<>();
      openCalls.put(destination, call);
      joined.add(new Effect.StartCall(call));
    }
    call.add(start);
  }

  private static Effect withoutCallOfOne(Effect effect) {
    return effect instanceof Effect.StartCall call && call.attempts().size() == 1
        ? call.attempts().get(0)
        : effect;
  }
}
