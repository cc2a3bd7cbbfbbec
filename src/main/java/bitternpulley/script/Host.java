package bitternpulley.script;

import java.util.Map;

/** The functions of the program that a script may call. */
public interface Host {
  /** Whether there is a function of this name. */
  boolean knows(String function);

  /**
   * Calls a function with its arguments by name, each with its place; the result, None for null, is
   * the call's value. Throws {@link ScriptException} where it cannot be called so.
   */
  Object call(String function, Map<String, Value> arguments, Place position);

  /** A value and where it stands. */
  record Value(Object value, Place at) {}
}
