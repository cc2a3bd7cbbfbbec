package bitternpulley.script;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The language's own functions, and the methods of texts, lists and dicts. */
final class Builtins {
  private static final Set<String> NAMES =
      Set.of(
          "len",
          "range",
          "str",
          "int",
          "float",
          "bool",
          "list",
          "dict",
          "tuple",
          "sorted",
          "reversed",
          "min",
          "max",
          "enumerate",
          "zip",
          "abs",
          "any",
          "all",
          "type",
          "print",
          "fail",
          "repr");

  private final EvaluationBudget meter;
  private final Values values;

  Builtins(EvaluationBudget meter, Values values) {
    this.meter = meter;
    this.values = values;
  }

  static boolean knows(String name) {
    return NAMES.contains(name);
  }

  Object call(String name, List<Object> plain, Map<String, Host.Value> named, Place position) {
    boolean reverse =
        named.containsKey("reverse")
            && name.equals("sorted")
            && Values.isTruthy(named.get("reverse").value());
    if (!named.isEmpty() && !(name.equals("sorted") && named.keySet().equals(Set.of("reverse")))) {
      throw new ScriptException(
          position, name + "() has no '" + named.keySet().iterator().next() + "'");
    }
    if (name.equals("print") || name.equals("fail")) {
      StringBuilder text = new StringBuilder();
      plain.forEach(
          value -> text.append(text.length() == 0 ? "" : " ").append(values.text(value, position)));
      if (name.equals("fail")) {
        throw new ScriptException(position, text.toString());
      }
      meter.print(text.toString(), position);
      return None.NONE;
    }
    return switch (name) {
      case "range" -> range(plain, position);
      case "min", "max" -> extreme(name, plain, position);
      case "zip" -> zip(plain, position);
      case "list" ->
          plain.isEmpty()
              ? new ArrayList<>()
              : values.elements(one(name, plain, position), position);
      case "tuple" ->
          new Values.Tuple(
              plain.isEmpty() ? List.of() : values.elements(one(name, plain, position), position));
      case "dict" ->
          plain.isEmpty() ? new LinkedHashMap<>() : dict(one(name, plain, position), position);
      case "sorted" -> sorted(one(name, plain, position), reverse, position);
      default -> single(name, one(name, plain, position), position);
    };
  }

  private Object single(String name, Object value, Place position) {
    return switch (name) {
      case "len" ->
          value instanceof String text
              ? (Object) (long) text.length()
              : (long) values.elements(value, position).size();
      case "str" -> values.text(value, position);
      case "repr" -> values.literal(value, position);
      case "int" -> toInteger(value, position);
      case "float" -> toFloat(value, position);
      case "bool" -> Values.isTruthy(value);
      case "type" -> Values.typeName(value);
      case "abs" ->
          value instanceof Long integer && integer != Long.MIN_VALUE
              ? (Object) Math.abs(integer)
              : value instanceof Double number ? Math.abs(number) : refuse(name, value, position);
      case "any" -> values.elements(value, position).stream().anyMatch(Values::isTruthy);
      case "all" -> values.elements(value, position).stream().allMatch(Values::isTruthy);
      case "reversed" -> reversed(values.elements(value, position));
      default -> enumerated(values.elements(value, position), position);
    };
  }

  private static Object refuse(String name, Object value, Place position) {
    throw new ScriptException(position, name + "() does not go with a " + Values.typeName(value));
  }

  private static Object one(String name, List<Object> plain, Place position) {
    if (plain.size() != 1) {
      throw new ScriptException(position, name + "() takes one argument, not " + plain.size());
    }
    return plain.get(0);
  }

  private List<Object> range(List<Object> plain, Place position) {
    if (plain.isEmpty()
        || plain.size() > 3
        || !plain.stream().allMatch(value -> value instanceof Long)) {
      throw new ScriptException(position, "range() takes one to three whole numbers");
    }
    long from = plain.size() == 1 ? 0 : (Long) plain.get(0);
    long to = (Long) plain.get(plain.size() == 1 ? 0 : 1);
    long by = plain.size() == 3 ? (Long) plain.get(2) : 1;
    if (by == 0) {
      throw new ScriptException(position, "range() cannot go by 0");
    }
    List<Object> made = new ArrayList<>();
    for (long i = from; by > 0 ? i < to : i > to; i += by) {
      meter.reserve(1, position);
      made.add(i);
      if (by > 0 && i > Long.MAX_VALUE - by || by < 0 && i < Long.MIN_VALUE - by) {
        break;
      }
    }
    return made;
  }

  private Object extreme(String name, List<Object> plain, Place position) {
    List<Object> of = plain.size() == 1 ? values.elements(plain.get(0), position) : plain;
    if (of.isEmpty()) {
      throw new ScriptException(position, name + "() of nothing");
    }
    Object found = of.get(0);
    for (Object value : of) {
      int order = values.order(value, found, 0, position);
      found = name.equals("min") ? order < 0 ? value : found : order > 0 ? value : found;
    }
    return found;
  }

  private List<Object> zip(List<Object> plain, Place position) {
    List<List<Object>> columns =
        plain.stream().map(value -> values.elements(value, position)).toList();
    int rows = columns.stream().mapToInt(List::size).min().orElse(0);
    List<Object> made = new ArrayList<>();
    for (int i = 0; i < rows; i++) {
      int row = i;
      meter.reserve(columns.size() + 1L, position);
      made.add(new Values.Tuple(columns.stream().map(c -> c.get(row)).toList()));
    }
    return made;
  }

  private Object dict(Object value, Place position) {
    if (value instanceof Map) {
      meter.reserve(Values.dict(value).size(), position);
      return new LinkedHashMap<>(Values.dict(value));
    }
    Map<Object, Object> made = new LinkedHashMap<>();
    for (Object pair : values.elements(value, position)) {
      List<Object> two = values.elements(pair, position);
      if (two.size() != 2) {
        throw new ScriptException(position, "dict() takes pairs");
      }
      made.put(values.key(two.get(0), position), two.get(1));
    }
    return made;
  }

  private List<Object> sorted(Object value, boolean reverse, Place position) {
    List<Object> made = values.elements(value, position);
    made.sort(
        (left, right) ->
            reverse
                ? values.order(right, left, 0, position)
                : values.order(left, right, 0, position));
    return made;
  }

  private static List<Object> reversed(List<Object> elements) {
    java.util.Collections.reverse(elements);
    return elements;
  }

  private List<Object> enumerated(List<Object> elements, Place position) {
    List<Object> made = new ArrayList<>();
    for (Object e : elements) {
      meter.reserve(3, position);
      made.add(new Values.Tuple(List.of((long) made.size(), e)));
    }
    return made;
  }

  private Object toInteger(Object value, Place position) {
    try {
      return value instanceof Long
          ? value
          : value instanceof Boolean b
              ? (Object) (b ? 1L : 0L)
              : value instanceof Double number && Math.abs(number) < 9e18
                  ? (Object) (long) (double) number
                  : value instanceof String text
                      ? (Object) Long.parseLong(text.strip())
                      : refuse("int", value, position);
    } catch (NumberFormatException e) {
      throw new ScriptException(
          position, values.literal(value, position) + " is not a whole number");
    }
  }

  private Object toFloat(Object value, Place position) {
    try {
      double d =
          value instanceof Number n
              ? n.doubleValue()
              : value instanceof String text
                  ? Double.parseDouble(text.strip())
                  : (Double) refuse("float", value, position);
      if (Double.isNaN(d) || Double.isInfinite(d)) {
        throw new ScriptException(position, "a number that is not finite");
      }
      return d;
    } catch (NumberFormatException e) {
      throw new ScriptException(position, values.literal(value, position) + " is not a number");
    }
  }

  // --- Methods -----------------------------------------------------------------------------------

  Object method(
      Object of, String name, List<Object> plain, Map<String, Host.Value> named, Place position) {
    if (of instanceof String text && name.equals("format")) {
      return format(text, plain, named, position);
    }
    if (!named.isEmpty()) {
      throw new ScriptException(position, "." + name + "() takes no arguments by name");
    }
    Object made =
        of instanceof String text
            ? text(text, name, plain, position)
            : of instanceof Map
                ? dict(Values.dict(of), name, plain, position)
                : of instanceof List && !(of instanceof Values.Tuple)
                    ? list(Values.list(of), name, plain, position)
                    : null;
    if (made == null) {
      throw new ScriptException(
          position,
          "a " + Values.typeName(of) + " has no ." + name + "() of " + plain.size() + " arguments");
    }
    return made;
  }

  private Object text(String text, String name, List<Object> plain, Place position) {
    meter.reserve(text.length(), position);
    if (plain.isEmpty()) {
      return switch (name) {
        case "upper" -> text.toUpperCase(Locale.ROOT);
        case "lower" -> text.toLowerCase(Locale.ROOT);
        case "strip" -> text.strip();
        case "split" ->
            text.isBlank()
                ? new ArrayList<>()
                : new ArrayList<Object>(Arrays.asList(text.strip().split("\\s+")));
        default -> null;
      };
    }
    if (name.equals("join") && plain.size() == 1) {
      StringBuilder joined = new StringBuilder();
      for (Object value : values.elements(plain.get(0), position)) {
        if (!(value instanceof String part)) {
          throw new ScriptException(
              position, "join() takes texts, not a " + Values.typeName(value));
        }
        meter.reserve((long) part.length() + text.length(), position);
        joined.append(joined.length() == 0 ? "" : text).append(part);
      }
      return joined.toString();
    }
    if (!plain.stream().allMatch(value -> value instanceof String)) {
      return null;
    }
    String first = (String) plain.get(0);
    if (plain.size() == 2) {
      return name.equals("replace") ? replaced(text, first, (String) plain.get(1), position) : null;
    }
    return plain.size() != 1
        ? null
        : switch (name) {
          case "startswith" -> text.startsWith(first);
          case "endswith" -> text.endsWith(first);
          case "count" ->
              (long)
                  (first.isEmpty()
                      ? text.length() + 1
                      : text.split(java.util.regex.Pattern.quote(first), -1).length - 1);
          case "find" -> (long) text.indexOf(first);
          case "split" -> split(text, first, position);
          default -> null;
        };
  }

  private Object replaced(String text, String what, String by, Place position) {
    long times =
        what.isEmpty()
            ? text.length() + 1L
            : text.split(java.util.regex.Pattern.quote(what), -1).length - 1L;
    meter.reserve(text.length() + times * by.length(), position);
    return text.replace(what, by);
  }

  private Object split(String text, String by, Place position) {
    if (by.isEmpty()) {
      throw new ScriptException(position, "split() by nothing");
    }
    return new ArrayList<Object>(Arrays.asList(text.split(java.util.regex.Pattern.quote(by), -1)));
  }

  /** {@code "{} of {total}".format(1, total = 3)}. */
  private String format(
      String form, List<Object> plain, Map<String, Host.Value> named, Place position) {
    StringBuilder out = new StringBuilder();
    int next = 0;
    for (int i = 0; i < form.length(); i++) {
      char c = form.charAt(i);
      boolean doubled = i + 1 < form.length() && form.charAt(i + 1) == c;
      if (c != '{' && c != '}' || doubled) {
        out.append(c);
        i += c == '{' || c == '}' ? 1 : 0;
        continue;
      }
      int end = form.indexOf('}', i);
      if (c == '}' || end < 0) {
        throw new ScriptException(position, "a bracket in the text has no other");
      }
      String name = form.substring(i + 1, end);
      Object value;
      if (name.isEmpty() || name.matches("[0-9]{1,6}")) {
        int index = name.isEmpty() ? next++ : Integer.parseInt(name);
        if (index >= plain.size()) {
          throw new ScriptException(position, "there are fewer values than places in the text");
        }
        value = plain.get(index);
      } else if (named.containsKey(name)) {
        value = named.get(name).value();
      } else {
        throw new ScriptException(position, "format() is not given '" + name + "'");
      }
      String placed = values.text(value, position);
      meter.reserve(placed.length(), position);
      out.append(placed);
      i = end;
    }
    meter.reserve(out.length(), position);
    return out.toString();
  }

  private Object list(List<Object> of, String name, List<Object> plain, Place position) {
    if (plain.size() == 1 && name.equals("append")) {
      meter.reserve(1, position);
      of.add(plain.get(0));
      return None.NONE;
    }
    if (plain.size() == 1 && name.equals("extend")) {
      of.addAll(values.elements(plain.get(0), position));
      return None.NONE;
    }
    if (plain.size() == 1 && name.equals("index")) {
      for (int i = 0; i < of.size(); i++) {
        if (values.equal(of.get(i), plain.get(0), 0, position)) {
          return (long) i;
        }
      }
      throw new ScriptException(position, "the list has no such element");
    }
    if (plain.isEmpty() && name.equals("pop")) {
      if (of.isEmpty()) {
        throw new ScriptException(position, "the list is empty");
      }
      return of.remove(of.size() - 1);
    }
    return null;
  }

  private Object dict(Map<Object, Object> of, String name, List<Object> plain, Place position) {
    if (plain.isEmpty()) {
      meter.reserve(of.size(), position);
      return switch (name) {
        case "keys" -> new ArrayList<>(of.keySet());
        case "values" -> new ArrayList<>(of.values());
        case "items" -> {
          List<Object> items = new ArrayList<>();
          of.forEach((k, value) -> items.add(new Values.Tuple(List.of(k, value))));
          yield items;
        }
        default -> null;
      };
    }
    if (name.equals("update") && plain.size() == 1 && plain.get(0) instanceof Map) {
      meter.reserve(Values.dict(plain.get(0)).size(), position);
      of.putAll(new LinkedHashMap<>(Values.dict(plain.get(0))));
      return None.NONE;
    }
    Object key = values.key(plain.get(0), position);
    Object absent = plain.size() == 2 ? plain.get(1) : null;
    if (plain.size() > 2) {
      return null;
    }
    return switch (name) {
      case "get" -> of.getOrDefault(key, absent == null ? None.NONE : absent);
      case "setdefault" -> {
        of.putIfAbsent(key, absent == null ? None.NONE : absent);
        yield of.get(key);
      }
      case "pop" -> {
        if (!of.containsKey(key) && absent == null) {
          throw new ScriptException(position, "there is no key " + values.literal(key, position));
        }
        yield of.containsKey(key) ? of.remove(key) : absent;
      }
      default -> null;
    };
  }
}
