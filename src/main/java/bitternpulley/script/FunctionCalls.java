package bitternpulley.script;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Calls the functions of the script, of the host and of the language. */
final class FunctionCalls {
  private final EvaluationBudget budget;
  private final ScriptHost host;
  private final BuiltinFunctions builtins;

  FunctionCalls(EvaluationBudget budget, ScriptHost host, BuiltinFunctions builtins) {
    this.budget = budget;
    this.host = host;
    this.builtins = builtins;
  }

  /** Calls the host function of this name or, if the host has none, the built-in function. */
  Object callByName(String name, Arguments arguments, SourcePosition position) {
    if (host.hasFunction(name)) {
      return callHost(name, arguments, position);
    }
    if (builtins.contains(name)) {
      return builtins.call(name, arguments, position);
    }
    throw new ScriptException(position, "the name '" + name + "' is not defined");
  }

  private Object callHost(String name, Arguments arguments, SourcePosition position) {
    if (!arguments.hasNoPositional()) {
      throw new ScriptException(position, name + "() takes only named arguments");
    }
    Object result = host.call(name, arguments.named(), position);
    return result == null ? None.NONE : result;
  }

  /** Calls a value, which must be a function that the script defines. */
  Object callValue(Object target, Arguments arguments, SourcePosition position) {
    if (!(target instanceof ScriptFunction function)) {
      throw new ScriptException(
          position, "a value of type " + Values.typeName(target) + " cannot be called");
    }
    function.beginCall(position);
    try {
      return execute(function, bind(function, arguments, position), position);
    } finally {
      function.endCall();
    }
  }

  private Object execute(ScriptFunction function, Scope locals, SourcePosition position) {
    budget.enter(position);
    try {
      return function.execute(locals, position);
    } finally {
      budget.leave();
    }
  }

  private static Scope bind(ScriptFunction function, Arguments arguments, SourcePosition position) {
    List<ScriptFunction.Parameter> parameters = function.parameters();
    if (arguments.positionalCount() > parameters.size()) {
      throw new ScriptException(
          position,
          function.name()
              + "() takes "
              + parameters.size()
              + " arguments, not "
              + arguments.positionalCount());
    }
    Scope locals = function.newLocals();
    Map<String, ScriptHost.Argument> remaining = new LinkedHashMap<>(arguments.named());
    for (int index = 0; index < parameters.size(); index++) {
      ScriptFunction.Parameter parameter = parameters.get(index);
      ScriptHost.Argument named = remaining.remove(parameter.name());
      Object value =
          index < arguments.positionalCount()
              ? positional(parameter, arguments.positional().get(index), named)
              : namedOrDefault(function, parameter, named, position);
      locals.set(parameter.name(), value);
    }
    for (Map.Entry<String, ScriptHost.Argument> unknownArgument : remaining.entrySet()) {
      throw new ScriptException(
          unknownArgument.getValue().position(),
          function.name() + "() has no parameter '" + unknownArgument.getKey() + "'");
    }
    return locals;
  }

  private static Object positional(
      ScriptFunction.Parameter parameter, Object value, ScriptHost.Argument named) {
    if (named != null) {
      throw new ScriptException(
          named.position(), "the argument '" + parameter.name() + "' is given twice");
    }
    return value;
  }

  private static Object namedOrDefault(
      ScriptFunction function,
      ScriptFunction.Parameter parameter,
      ScriptHost.Argument named,
      SourcePosition position) {
    Object value = named == null ? parameter.defaultValue() : named.value();
    if (value == null) {
      throw new ScriptException(
          position, function.name() + "() is missing the argument '" + parameter.name() + "'");
    }
    return value;
  }
}
