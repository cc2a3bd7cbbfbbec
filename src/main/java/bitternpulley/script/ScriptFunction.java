package bitternpulley.script;

import java.util.List;

/** A function that a script defines. */
final class ScriptFunction {
  /**
   * A parameter of a function.
   *
   * @param defaultValue null if the argument is required
   */
  record Parameter(String name, Object defaultValue) {}

  /** Executes the statements of a function. */
  interface Body {
    /** Returns the function's result, given its local variables and the position of the call. */
    Object execute(Scope locals, SourcePosition callPosition);
  }

  private final String name;
  private final List<Parameter> parameters;
  private final Scope definitionScope;
  private final Body body;
  private boolean isRunning;

  ScriptFunction(String name, List<Parameter> parameters, Scope definitionScope, Body body) {
    this.name = name;
    this.parameters = List.copyOf(parameters);
    this.definitionScope = definitionScope;
    this.body = body;
  }

  String name() {
    return name;
  }

  List<Parameter> parameters() {
    return parameters;
  }

  /** Creates the scope for the local variables of one call. */
  Scope newLocals() {
    return new Scope(definitionScope);
  }

  /**
   * Begins a call, which {@link #endCall} ends. Recursion is rejected, so that each script
   * terminates.
   */
  void beginCall(SourcePosition position) {
    if (isRunning) {
      throw new ScriptException(position, "'" + name + "' calls itself, which is not allowed");
    }
    isRunning = true;
  }

  void endCall() {
    isRunning = false;
  }

  Object execute(Scope locals, SourcePosition callPosition) {
    return body.execute(locals, callPosition);
  }

  @Override
  public String toString() {
    return "<function " + name + ">";
  }
}
