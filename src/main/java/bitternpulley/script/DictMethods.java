package bitternpulley.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The methods of dicts. */
final class DictMethods {
  private final EvaluationBudget budget;
  private final ValueFormatter valueFormatter;

  DictMethods(EvaluationBudget budget, ValueFormatter valueFormatter) {
    this.budget = budget;
    this.valueFormatter = valueFormatter;
  }

  Object call(
      Map<Object, Object> dict, String name, List<Object> arguments, SourcePosition position) {
    if (arguments.isEmpty()) {
      return call(dict, name, position);
    }
    if (name.equals("update") && arguments.size() == 1 && arguments.get(0) instanceof Map) {
      return update(dict, Values.asDict(arguments.get(0)), position);
    }
    Object key = Values.toKey(arguments.get(0), position);
    return switch (arguments.size()) {
      case 1 -> call(dict, name, key, position);
      case 2 -> call(dict, name, key, arguments.get(1), position);
      default -> throw MethodCalls.noSuchMethod(dict, name, arguments.size(), position);
    };
  }

  private Object call(Map<Object, Object> dict, String name, SourcePosition position) {
    budget.reserve(dict.size(), position);
    return switch (name) {
      case "keys" -> new ArrayList<>(dict.keySet());
      case "values" -> new ArrayList<>(dict.values());
      case "items" -> items(dict);
      default -> throw MethodCalls.noSuchMethod(dict, name, 0, position);
    };
  }

  private Object call(Map<Object, Object> dict, String name, Object key, SourcePosition position) {
    return switch (name) {
      case "get" -> dict.getOrDefault(key, None.NONE);
      case "setdefault" -> setDefault(dict, key, None.NONE);
      case "pop" -> pop(dict, key, position);
      default -> throw MethodCalls.noSuchMethod(dict, name, 1, position);
    };
  }

  private static Object call(
      Map<Object, Object> dict,
      String name,
      Object key,
      Object defaultValue,
      SourcePosition position) {
    return switch (name) {
      case "get" -> dict.getOrDefault(key, defaultValue);
      case "setdefault" -> setDefault(dict, key, defaultValue);
      case "pop" -> dict.containsKey(key) ? dict.remove(key) : defaultValue;
      default -> throw MethodCalls.noSuchMethod(dict, name, 2, position);
    };
  }

  private static List<Object> items(Map<Object, Object> dict) {
    List<Object> items = new ArrayList<>();
    dict.forEach((key, value) -> items.add(new Tuple(List.of(key, value))));
    return items;
  }

  private None update(
      Map<Object, Object> dict, Map<Object, Object> added, SourcePosition position) {
    budget.reserve(added.size(), position);
    // The copy allows a dict to be updated with itself.
    dict.putAll(new LinkedHashMap<>(added));
    return None.NONE;
  }

  private static Object setDefault(Map<Object, Object> dict, Object key, Object defaultValue) {
    dict.putIfAbsent(key, defaultValue);
    return dict.get(key);
  }

  private Object pop(Map<Object, Object> dict, Object key, SourcePosition position) {
    if (!dict.containsKey(key)) {
      throw new ScriptException(position, "there is no key " + valueFormatter.repr(key, position));
    }
    return dict.remove(key);
  }
}
