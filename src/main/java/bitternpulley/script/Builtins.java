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

  private final Meter meter;
  private final Values values;

  Builtins(Meter meter, Values values) {
    this.meter = meter;
    this.values = values;
  }

  static boolean knows(String name) {
    return NAMES.contains(name);
  }

  Object call(String name, List<Object> plain, Map<String, Host.Value> named, Place at) {
    boolean reverse =
        named.containsKey("reverse")
            && name.equals("sorted")
            && Values.truth(named.get("reverse").value());
    if (!named.isEmpty() && !(name.equals("sorted") && named.keySet().equals(Set.of("reverse")))) {
      throw new ScriptException(at, name + "() has no '" + named.keySet().iterator().next() + "'");
    }
    if (name.equals("print") || name.equals("fail")) {
      StringBuilder text = new StringBuilder();
      plain.forEach(v -> text.append(text.length() == 0 ? "" : " ").append(values.text(v, at)));
      if (name.equals("fail")) {
        throw new ScriptException(at, text.toString());
      }
      meter.print(text.toString(), at);
      return None.NONE;
    }
    return switch (name) {
      case "range" -> range(plain, at);
      case "min", "max" -> extreme(name, plain, at);
      case "zip" -> zip(plain, at);
      case "list" ->
          plain.isEmpty() ? new ArrayList<>() : values.elements(one(name, plain, at), at);
      case "tuple" ->
          new Values.Tuple(plain.isEmpty() ? List.of() : values.elements(one(name, plain, at), at));
      case "dict" -> plain.isEmpty() ? new LinkedHashMap<>() : dict(one(name, plain, at), at);
      case "sorted" -> sorted(one(name, plain, at), reverse, at);
      default -> single(name, one(name, plain, at), at);
    };
  }

  private Object single(String name, Object v, Place at) {
    return switch (name) {
      case "len" ->
          v instanceof String s ? (Object) (long) s.length() : (long) values.elements(v, at).size();
      case "str" -> values.text(v, at);
      case "repr" -> values.written(v, at);
      case "int" -> whole(v, at);
      case "float" -> real(v, at);
      case "bool" -> Values.truth(v);
      case "type" -> Values.type(v);
      case "abs" ->
          v instanceof Long l && l != Long.MIN_VALUE
              ? (Object) Math.abs(l)
              : v instanceof Double d ? Math.abs(d) : refuse(name, v, at);
      case "any" -> values.elements(v, at).stream().anyMatch(Values::truth);
      case "all" -> values.elements(v, at).stream().allMatch(Values::truth);
      case "reversed" -> reversed(values.elements(v, at));
      default -> enumerated(values.elements(v, at), at);
    };
  }

  private static Object refuse(String name, Object v, Place at) {
    throw new ScriptException(at, name + "() does not go with a " + Values.type(v));
  }

  private static Object one(String name, List<Object> plain, Place at) {
    if (plain.size() != 1) {
      throw new ScriptException(at, name + "() takes one argument, not " + plain.size());
    }
    return plain.get(0);
  }

  private List<Object> range(List<Object> plain, Place at) {
    if (plain.isEmpty() || plain.size() > 3 || !plain.stream().allMatch(v -> v instanceof Long)) {
      throw new ScriptException(at, "range() takes one to three whole numbers");
    }
    long from = plain.size() == 1 ? 0 : (Long) plain.get(0);
    long to = (Long) plain.get(plain.size() == 1 ? 0 : 1);
    long by = plain.size() == 3 ? (Long) plain.get(2) : 1;
    if (by == 0) {
      throw new ScriptException(at, "range() cannot go by 0");
    }
    List<Object> made = new ArrayList<>();
    for (long i = from; by > 0 ? i < to : i > to; i += by) {
      meter.make(1, at);
      made.add(i);
      if (by > 0 && i > Long.MAX_VALUE - by || by < 0 && i < Long.MIN_VALUE - by) {
        break;
      }
    }
    return made;
  }

  private Object extreme(String name, List<Object> plain, Place at) {
    List<Object> of = plain.size() == 1 ? values.elements(plain.get(0), at) : plain;
    if (of.isEmpty()) {
      throw new ScriptException(at, name + "() of nothing");
    }
    Object found = of.get(0);
    for (Object v : of) {
      int order = values.order(v, found, 0, at);
      found = name.equals("min") ? order < 0 ? v : found : order > 0 ? v : found;
    }
    return found;
  }

  private List<Object> zip(List<Object> plain, Place at) {
    List<List<Object>> columns = plain.stream().map(v -> values.elements(v, at)).toList();
    int rows = columns.stream().mapToInt(List::size).min().orElse(0);
    List<Object> made = new ArrayList<>();
    for (int i = 0; i < rows; i++) {
      int row = i;
      meter.make(columns.size() + 1L, at);
      made.add(new Values.Tuple(columns.stream().map(c -> c.get(row)).toList()));
    }
    return made;
  }

  private Object dict(Object v, Place at) {
    if (v instanceof Map) {
      meter.make(Values.dict(v).size(), at);
      return new LinkedHashMap<>(Values.dict(v));
    }
    Map<Object, Object> made = new LinkedHashMap<>();
    for (Object pair : values.elements(v, at)) {
      List<Object> two = values.elements(pair, at);
      if (two.size() != 2) {
        throw new ScriptException(at, "dict() takes pairs");
      }
      made.put(values.key(two.get(0), at), two.get(1));
    }
    return made;
  }

  private List<Object> sorted(Object v, boolean reverse, Place at) {
    List<Object> made = values.elements(v, at);
    made.sort((a, b) -> reverse ? values.order(b, a, 0, at) : values.order(a, b, 0, at));
    return made;
  }

  private static List<Object> reversed(List<Object> elements) {
    java.util.Collections.reverse(elements);
    return elements;
  }

  private List<Object> enumerated(List<Object> elements, Place at) {
    List<Object> made = new ArrayList<>();
    for (Object e : elements) {
      meter.make(3, at);
      made.add(new Values.Tuple(List.of((long) made.size(), e)));
    }
    return made;
  }

  private Object whole(Object v, Place at) {
    try {
      return v instanceof Long
          ? v
          : v instanceof Boolean b
              ? (Object) (b ? 1L : 0L)
              : v instanceof Double d && Math.abs(d) < 9e18
                  ? (Object) (long) (double) d
                  : v instanceof String s
                      ? (Object) Long.parseLong(s.strip())
                      : refuse("int", v, at);
    } catch (NumberFormatException e) {
      throw new ScriptException(at, values.written(v, at) + " is not a whole number");
    }
  }

  private Object real(Object v, Place at) {
    try {
      double d =
          v instanceof Number n
              ? n.doubleValue()
              : v instanceof String s
                  ? Double.parseDouble(s.strip())
                  : (Double) refuse("float", v, at);
      if (Double.isNaN(d) || Double.isInfinite(d)) {
        throw new ScriptException(at, "a number that is not finite");
      }
      return d;
    } catch (NumberFormatException e) {
      throw new ScriptException(at, values.written(v, at) + " is not a number");
    }
  }

  // --- Methods -----------------------------------------------------------------------------------

  Object method(
      Object of, String name, List<Object> plain, Map<String, Host.Value> named, Place at) {
    if (of instanceof String s && name.equals("format")) {
      return format(s, plain, named, at);
    }
    if (!named.isEmpty()) {
      throw new ScriptException(at, "." + name + "() takes no arguments by name");
    }
    Object made =
        of instanceof String s
            ? text(s, name, plain, at)
            : of instanceof Map
                ? dict(Values.dict(of), name, plain, at)
                : of instanceof List && !(of instanceof Values.Tuple)
                    ? list(Values.list(of), name, plain, at)
                    : null;
    if (made == null) {
      throw new ScriptException(
          at, "a " + Values.type(of) + " has no ." + name + "() of " + plain.size() + " arguments");
    }
    return made;
  }

  private Object text(String s, String name, List<Object> plain, Place at) {
    meter.make(s.length(), at);
    if (plain.isEmpty()) {
      return switch (name) {
        case "upper" -> s.toUpperCase(Locale.ROOT);
        case "lower" -> s.toLowerCase(Locale.ROOT);
        case "strip" -> s.strip();
        case "split" ->
            s.isBlank()
                ? new ArrayList<>()
                : new ArrayList<Object>(Arrays.asList(s.strip().split("\\s+")));
        default -> null;
      };
    }
    if (name.equals("join") && plain.size() == 1) {
      StringBuilder joined = new StringBuilder();
      for (Object v : values.elements(plain.get(0), at)) {
        if (!(v instanceof String part)) {
          throw new ScriptException(at, "join() takes texts, not a " + Values.type(v));
        }
        meter.make((long) part.length() + s.length(), at);
        joined.append(joined.length() == 0 ? "" : s).append(part);
      }
      return joined.toString();
    }
    if (!plain.stream().allMatch(v -> v instanceof String)) {
      return null;
    }
    String first = (String) plain.get(0);
    if (plain.size() == 2) {
      return name.equals("replace") ? replaced(s, first, (String) plain.get(1), at) : null;
    }
    return plain.size() != 1
        ? null
        : switch (name) {
          case "startswith" -> s.startsWith(first);
          case "endswith" -> s.endsWith(first);
          case "count" ->
              (long)
                  (first.isEmpty()
                      ? s.length() + 1
                      : s.split(java.util.regex.Pattern.quote(first), -1).length - 1);
          case "find" -> (long) s.indexOf(first);
          case "split" -> split(s, first, at);
          default -> null;
        };
  }

  private Object replaced(String s, String what, String by, Place at) {
    long times =
        what.isEmpty()
            ? s.length() + 1L
            : s.split(java.util.regex.Pattern.quote(what), -1).length - 1L;
    meter.make(s.length() + times * by.length(), at);
    return s.replace(what, by);
  }

  private Object split(String s, String by, Place at) {
    if (by.isEmpty()) {
      throw new ScriptException(at, "split() by nothing");
    }
    return new ArrayList<Object>(Arrays.asList(s.split(java.util.regex.Pattern.quote(by), -1)));
  }

  /** {@code "{} of {total}".format(1, total = 3)}. */
  private String format(String form, List<Object> plain, Map<String, Host.Value> named, Place at) {
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
        throw new ScriptException(at, "a bracket in the text has no other");
      }
      String name = form.substring(i + 1, end);
      Object v;
      if (name.isEmpty() || name.matches("[0-9]{1,6}")) {
        int index = name.isEmpty() ? next++ : Integer.parseInt(name);
        if (index >= plain.size()) {
          throw new ScriptException(at, "there are fewer values than places in the text");
        }
        v = plain.get(index);
      } else if (named.containsKey(name)) {
        v = named.get(name).value();
      } else {
        throw new ScriptException(at, "format() is not given '" + name + "'");
      }
      String placed = values.text(v, at);
      meter.make(placed.length(), at);
      out.append(placed);
      i = end;
    }
    meter.make(out.length(), at);
    return out.toString();
  }

  private Object list(List<Object> of, String name, List<Object> plain, Place at) {
    if (plain.size() == 1 && name.equals("append")) {
      meter.make(1, at);
      of.add(plain.get(0));
      return None.NONE;
    }
    if (plain.size() == 1 && name.equals("extend")) {
      of.addAll(values.elements(plain.get(0), at));
      return None.NONE;
    }
    if (plain.size() == 1 && name.equals("index")) {
      for (int i = 0; i < of.size(); i++) {
        if (values.equal(of.get(i), plain.get(0), 0, at)) {
          return (long) i;
        }
      }
      throw new ScriptException(at, "the list has no such element");
    }
    if (plain.isEmpty() && name.equals("pop")) {
      if (of.isEmpty()) {
        throw new ScriptException(at, "the list is empty");
      }
      return of.remove(of.size() - 1);
    }
    return null;
  }

  private Object dict(Map<Object, Object> of, String name, List<Object> plain, Place at) {
    if (plain.isEmpty()) {
      meter.make(of.size(), at);
      return switch (name) {
        case "keys" -> new ArrayList<>(of.keySet());
        case "values" -> new ArrayList<>(of.values());
        case "items" -> {
          List<Object> items = new ArrayList<>();
          of.forEach((k, v) -> items.add(new Values.Tuple(List.of(k, v))));
          yield items;
        }
        default -> null;
      };
    }
    if (name.equals("update") && plain.size() == 1 && plain.get(0) instanceof Map) {
      meter.make(Values.dict(plain.get(0)).size(), at);
      of.putAll(new LinkedHashMap<>(Values.dict(plain.get(0))));
      return None.NONE;
    }
    Object key = values.key(plain.get(0), at);
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
          throw new ScriptException(at, "there is no key " + values.written(key, at));
        }
        yield of.containsKey(key) ? of.remove(key) : absent;
      }
      default -> null;
    };
  }
}
