package bitternpulley.script;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Calls functions by name: those of the script, of the host and of the language. */
final class FunctionCalls {
  private final EvaluationBudget budget;
  private final ScriptHost host;
  private final BuiltinFunctions builtins;

  FunctionCalls(EvaluationBudget budget, ScriptHost host, BuiltinFunctions builtins) {
    this.budget = budget;
    this.host = host;
    this.builtins = builtins;
  }

  /** Calls a function of the host or, where it has none of this name, of the language. */
  Object callByName(String name, Arguments arguments, SourcePosition position) {
    if (host.hasFunction(name)) {
      return callHost(name, arguments, position);
    }
    if (builtins.contains(name)) {
      return builtins.call(name, arguments, position);
    }
    throw new ScriptException(position, "nothing is called '" + name + "'");
  }

  private Object callHost(String name, Arguments arguments, SourcePosition position) {
    if (!arguments.isEmpty()) {
      throw new ScriptException(position, name + "() takes its arguments by name");
    }
    Object result = host.call(name, arguments.named(), position);
    return result == null ? None.NONE : result;
  }

  /** Calls a value, which has to be a function of the script. */
  Object callValue(Object target, Arguments arguments, SourcePosition position) {
    if (!(target instanceof ScriptFunction function)) {
      throw new ScriptException(position, "a " + Values.typeName(target) + " cannot be called");
    }
    function.begin(position);
    try {
      return execute(function, bind(function, arguments, position), position);
    } finally {
      function.end();
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
    if (arguments.count() > parameters.size()) {
      throw new ScriptException(
          position,
          function.name()
              + "() takes "
              + parameters.size()
              + " arguments, not "
              + arguments.count());
    }
    Scope locals = function.newLocals();
    Map<String, ScriptHost.Argument> unused = new LinkedHashMap<>(arguments.named());
    for (int index = 0; index < parameters.size(); index++) {
      ScriptFunction.Parameter parameter = parameters.get(index);
      ScriptHost.Argument named = unused.remove(parameter.name());
      Object value =
          index < arguments.count()
              ? positional(parameter, arguments.positional().get(index), named)
              : namedOrDefault(function, parameter, named, position);
      locals.set(parameter.name(), value);
    }
    for (Map.Entry<String, ScriptHost.Argument> unknown : unused.entrySet()) {
      throw new ScriptException(
          unknown.getValue().position(), function.name() + "() has no '" + unknown.getKey() + "'");
    }
    return locals;
  }

  private static Object positional(
      ScriptFunction.Parameter parameter, Object value, ScriptHost.Argument named) {
    if (named != null) {
      throw new ScriptException(named.position(), "'" + parameter.name() + "' is given twice");
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
      throw new ScriptException(position, function.name() + "() needs '" + parameter.name() + "'");
    }
    return value;
  }
}
