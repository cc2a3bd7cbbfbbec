package bitternpulley.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Joins the attempts that one turn of the core sends to one server into calls. A server charges for
 * each call beside the work of its parts ({@code domain.call} of the settings), and one call holds
 * up to {@code domain.bundleMax} parts.
 */
final class CallBatcher {
  /** Where a call goes: attempts of different wires never share one. */
  private record Target(String server, Dialect dialect) {}

  private CallBatcher() {}

  /**
   * The same effects, with the attempts to each server joined at the place of the first of them, at
   * most {@code most} to a call. Attempts move forward only, so that whatever gives one up still
   * comes after it.
   */
  static List<Effect> join(List<Effect> effects, int most) {
    if (most <= 1) {
      return effects;
    }
    List<Effect> joined = new ArrayList<>();
    Map<Target, List<Effect.StartAttempt>> forming = new LinkedHashMap<>();
    for (Effect effect : effects) {
      if (effect instanceof Effect.StartAttempt start) {
        Target target = new Target(start.server(), start.request().dialect());
        List<Effect.StartAttempt> call = forming.get(target);
        if (call == null || call.size() == most) {
          call = new ArrayList<>();
          forming.put(target, call);
          joined.add(new Effect.StartCall(call));
        }
        call.add(start);
      } else {
        joined.add(effect);
      }
    }
    joined.replaceAll(
        e -> e instanceof Effect.StartCall t && t.attempts().size() == 1 ? t.attempts().get(0) : e);
    return joined;
  }
}
