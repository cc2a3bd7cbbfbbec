package bitternpulley.script;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The built-in functions of the language, by name. */
final class BuiltinFunctions {
  private static final String SORTED = "sorted";

  /** The named argument of {@code sorted()}; no other built-in function accepts named arguments. */
  private static final String REVERSE = "reverse";

  /** A function with any number of arguments. */
  private interface Implementation {
    Object call(List<Object> arguments, SourcePosition position);
  }

  /** A function with one argument. */
  private interface UnaryImplementation {
    Object call(Object argument, SourcePosition position);
  }

  private final EvaluationBudget budget;
  private final Values values;
  private final ValueFormatter valueFormatter;
  private final SequenceFunctions sequences;
  private final Map<String, Implementation> implementations = new HashMap<>();

  BuiltinFunctions(
      EvaluationBudget budget,
      Values values,
      ValueFormatter valueFormatter,
      SequenceFunctions sequences,
      Conversions conversions) {
    this.budget = budget;
    this.values = values;
    this.valueFormatter = valueFormatter;
    this.sequences = sequences;
    addOutput();
    addConversions(conversions);
    addSequences();
  }

  private void addOutput() {
    implementations.put("print", this::print);
    implementations.put("fail", this::fail);
  }

  private void addConversions(Conversions conversions) {
    addUnary("str", valueFormatter::str);
    addUnary("repr", valueFormatter::repr);
    addUnary("int", conversions::toInteger);
    addUnary("float", conversions::toFloat);
    addUnary("bool", (value, position) -> Values.isTruthy(value));
    addUnary("type", (value, position) -> Values.typeName(value));
    addUnary("abs", Conversions::absolute);
  }

  private void addSequences() {
    implementations.put("range", sequences::range);
    implementations.put("min", sequences::min);
    implementations.put("max", sequences::max);
    implementations.put("zip", sequences::zip);
    implementations.put("list", this::list);
    implementations.put("tuple", this::tuple);
    implementations.put("dict", this::dict);
    addUnary("len", this::length);
    addUnary(SORTED, sequences::sorted);
    addUnary("reversed", sequences::reversed);
    addUnary("enumerate", sequences::enumerate);
    addUnary("any", this::any);
    addUnary("all", this::all);
  }

  private void addUnary(String name, UnaryImplementation implementation) {
    implementations.put(
        name,
        (arguments, position) ->
            implementation.call(onlyArgument(name, arguments, position), position));
  }

  boolean contains(String name) {
    return implementations.containsKey(name);
  }

  Object call(String name, Arguments arguments, SourcePosition position) {
    Map<String, ScriptHost.Argument> named = arguments.named();
    if (named.isEmpty()) {
      return implementations.get(name).call(arguments.positional(), position);
    }
    if (!name.equals(SORTED) || !named.keySet().equals(Set.of(REVERSE))) {
      String unknown = named.keySet().iterator().next();
      throw new ScriptException(position, name + "() has no parameter '" + unknown + "'");
    }
    Object source = onlyArgument(name, arguments.positional(), position);
    return Values.isTruthy(named.get(REVERSE).value())
        ? sequences.sortedDescending(source, position)
        : sequences.sorted(source, position);
  }

  private static Object onlyArgument(String name, List<Object> arguments, SourcePosition position) {
    if (arguments.size() != 1) {
      throw new ScriptException(position, name + "() takes one argument, not " + arguments.size());
    }
    return arguments.get(0);
  }

  /** The error for an argument whose type the function does not accept. */
  static ScriptException wrongType(String name, Object value, SourcePosition position) {
    return new ScriptException(
        position, name + "() does not accept a value of type " + Values.typeName(value));
  }

  private Object print(List<Object> arguments, SourcePosition position) {
    budget.print(joinWithSpaces(arguments, position), position);
    return None.NONE;
  }

  private Object fail(List<Object> arguments, SourcePosition position) {
    throw new ScriptException(position, joinWithSpaces(arguments, position));
  }

  private String joinWithSpaces(List<Object> arguments, SourcePosition position) {
    StringBuilder line = new StringBuilder();
    for (Object argument : arguments) {
      line.append(line.length() == 0 ? "" : " ").append(valueFormatter.str(argument, position));
    }
    return line.toString();
  }

  private Object list(List<Object> arguments, SourcePosition position) {
    return arguments.isEmpty()
        ? new ArrayList<>()
        : values.elements(onlyArgument("list", arguments, position), position);
  }

  private Object tuple(List<Object> arguments, SourcePosition position) {
    return arguments.isEmpty()
        ? new Tuple(List.of())
        : new Tuple(values.elements(onlyArgument("tuple", arguments, position), position));
  }

  private Object dict(List<Object> arguments, SourcePosition position) {
    return arguments.isEmpty()
        ? new LinkedHashMap<>()
        : sequences.dict(onlyArgument("dict", arguments, position), position);
  }

  private Object length(Object value, SourcePosition position) {
    int length =
        value instanceof String text ? text.length() : values.elements(value, position).size();
    return (long) length;
  }

  private Object any(Object value, SourcePosition position) {
    return values.elements(value, position).stream().anyMatch(Values::isTruthy);
  }

  private Object all(Object value, SourcePosition position) {
    return values.elements(value, position).stream().allMatch(Values::isTruthy);
  }
}
