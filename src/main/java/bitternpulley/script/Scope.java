package bitternpulley.script;

import java.util.HashMap;
import java.util.Map;

/** The variables of a script, function call or comprehension, with those of the enclosing scope. */
final class Scope {
  private final Scope enclosing;
  private final Map<String, Object> variables = new HashMap<>();

  /**
   * Creates a scope without variables of its own.
   *
   * @param enclosing the enclosing scope; null for the global scope
   */
  Scope(Scope enclosing) {
    this.enclosing = enclosing;
  }

  /** The value of a variable of this scope or of an enclosing one; null if there is none. */
  Object get(String name) {
    Object value = variables.get(name);
    return value == null && enclosing != null ? enclosing.get(name) : value;
  }

  void set(String name, Object value) {
    variables.put(name, value);
  }
}
