package bitternpulley.script;

import java.util.List;
import java.util.Map;

/**
 * The evaluated arguments of one call.
 *
 * @param positional those without a name, in order
 * @param named those with a name, in order
 */
record Arguments(List<Object> positional, Map<String, ScriptHost.Argument> named) {
  int count() {
    return positional.size();
  }

  /** Whether there is exactly one positional argument. */
  boolean isSingle() {
    return positional.size() == 1;
  }

  /** Whether there is no positional argument. */
  boolean isEmpty() {
    return positional.isEmpty();
  }

  Object first() {
    return positional.get(0);
  }
}
