package bitternpulley.script;

import java.util.Map;

/** The functions that the host application provides to scripts. */
public interface ScriptHost {
  /** Whether the host has a function of this name. */
  boolean hasFunction(String function);

  /**
   * Calls a function of the host.
   *
   * @param arguments the arguments by name, in the order of the call
   * @param position the position of the call
   * @return the result; null stands for {@code None}
   * @throws ScriptException if the function cannot be called with these arguments
   */
  Object call(String function, Map<String, Argument> arguments, SourcePosition position);

  /**
   * An argument of a call.
   *
   * @param value its value
   * @param position its position in the script
   */
  record Argument(Object value, SourcePosition position) {}
}
