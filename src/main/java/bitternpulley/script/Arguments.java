package bitternpulley.script;

import java.util.List;
import java.util.Map;

/**
 * The evaluated arguments of one call.
 *
 * @param positional the arguments without a name, in order
 * @param named the arguments with a name, by name and in order
 */
record Arguments(List<Object> positional, Map<String, ScriptHost.Argument> named) {
  int positionalCount() {
    return positional.size();
  }

  /** Whether there is exactly one positional argument. */
  boolean hasSinglePositional() {
    return positional.size() == 1;
  }

  /** Whether there is no positional argument. */
  boolean hasNoPositional() {
    return positional.isEmpty();
  }

  Object firstPositional() {
    return positional.get(0);
  }
}
