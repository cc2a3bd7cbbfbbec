package bitternpulley.script;

import java.util.HashMap;
import java.util.Map;

/** The variables of a script, function call or comprehension, and those of the scope around it. */
final class Scope {
  private final Scope outer;
  private final Map<String, Object> variables = new HashMap<>();

  /**
   * A scope without variables of its own.
   *
   * @param outer null for the scope of the script
   */
  Scope(Scope outer) {
    this.outer = outer;
  }

  /** The value of a variable of this scope or of one around it; null if there is none. */
  Object get(String name) {
    Object value = variables.get(name);
    return value == null && outer != null ? outer.get(name) : value;
  }

  void set(String name, Object value) {
    variables.put(name, value);
  }
}
