package bitternpulley.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Combines the attempts that one event starts on the same server into shared calls. Each call costs
 * the server work in addition to the work of its parts ({@code domain.call} in the settings). One
 * call holds up to {@code domain.bundleMax} parts.
 */
final class CallBatcher {
  /** The destination of a call; attempts of different protocols never share a call. */
  private record Destination(String server, ProtocolAdapter protocolAdapter) {}

  private CallBatcher() {}

  /**
   * Combines the attempts to each server into calls. Each call takes the position of its first
   * attempt, so attempts only move towards the front and a cancellation still follows the attempt
   * that it cancels.
   *
   * @param maxPartsPerCall maximum number of attempts per call; 1 or less disables combining
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
    joined.replaceAll(CallBatcher::unwrapSingleAttempt);
    return joined;
  }

  private static void addToCall(
      Effect.StartAttempt start,
      int maxPartsPerCall,
      Map<Destination, List<Effect.StartAttempt>> openCalls,
      List<Effect> joined) {
    Destination destination = new Destination(start.server(), start.request().protocolAdapter());
    List<Effect.StartAttempt> call = openCalls.get(destination);
    if (call == null || call.size() == maxPartsPerCall) {
      call = new ArrayList<>();
      openCalls.put(destination, call);
      joined.add(new Effect.StartCall(call));
    }
    call.add(start);
  }

  private static Effect unwrapSingleAttempt(Effect effect) {
    return effect instanceof Effect.StartCall call && call.attempts().size() == 1
        ? call.attempts().get(0)
        : effect;
  }
}
