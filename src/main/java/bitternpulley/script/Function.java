package bitternpulley.script;

import java.util.List;

/** A function that the script defines; values of defaults are taken where it is defined. */
final class Function {
  final String name;
  final List<String> parameters;

  /** Null for a parameter that must be given. */
  final List<Object> defaults;

  final ScriptParser.SuiteContext body;
  final Scope scope;

  /** Guards against recursion, which has no bound that a reader could see. */
  boolean running;

  Function(
      String name,
      List<String> parameters,
      List<Object> defaults,
      ScriptParser.SuiteContext body,
      Scope scope) {
    this.name = name;
    this.parameters = parameters;
    this.defaults = defaults;
    this.body = body;
    this.scope = scope;
  }

  @Override
  public String toString() {
    return "<function " + name + ">";
  }
}
