package bitternpulley.script;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What values are and how they combine: {@code Long}, {@code Double}, {@code Boolean}, {@code
 * String}, {@code List} (tuples are lists that cannot be changed), {@code Map}, {@link Function},
 * {@link None} and what the host gives. The rules are Starlark's.
 */
final class Values {
  /** Levels of lists in lists that are written out or compared. */
  private static final int DEEPEST = 100;

  private final Meter meter;

  Values(Meter meter) {
    this.meter = meter;
  }

  static String type(Object v) {
    return v instanceof Long
        ? "int"
        : v instanceof Double
            ? "float"
            : v instanceof Boolean
                ? "bool"
                : v instanceof String
                    ? "string"
                    : v instanceof Map
                        ? "dict"
                        : v instanceof Tuple
                            ? "tuple"
                            : v instanceof List
                                ? "list"
                                : v instanceof Function
                                    ? "function"
                                    : v instanceof None ? "NoneType" : "value";
  }

  static boolean truth(Object v) {
    return v instanceof Boolean b
        ? b
        : v instanceof Long l
            ? l != 0
            : v instanceof Double d
                ? d != 0
                : v instanceof String s
                    ? !s.isEmpty()
                    : v instanceof Collection<?> c
                        ? !c.isEmpty()
                        : v instanceof Map<?, ?> m ? !m.isEmpty() : v != None.NONE;
  }

  /** A list that cannot be changed. */
  static final class Tuple extends java.util.AbstractList<Object> {
    private final List<Object> elements;

    Tuple(List<Object> elements) {
      this.elements = List.copyOf(elements);
    }

    @Override
    public Object get(int index) {
      return elements.get(index);
    }

    @Override
    public int size() {
      return elements.size();
    }
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object v) {
    return (List<Object>) v;
  }

  @SuppressWarnings("unchecked")
  static Map<Object, Object> dict(Object v) {
    return (Map<Object, Object>) v;
  }

  /** The elements of what a loop goes over, as they are now. */
  List<Object> elements(Object v, Place at) {
    if (v instanceof List) {
      meter.make(list(v).size(), at);
      return new ArrayList<>(list(v));
    }
    if (v instanceof Map) {
      meter.make(dict(v).size(), at);
      return new ArrayList<>(dict(v).keySet());
    }
    throw new ScriptException(at, "a " + type(v) + " has no elements to go over");
  }

  Object key(Object v, Place at) {
    boolean fits =
        v instanceof String
            || v instanceof Long
            || v instanceof Boolean
            || v instanceof Double
            || v instanceof None
            || v instanceof Tuple t
                && t.stream().allMatch(e -> !(e instanceof List) || e instanceof Tuple);
    if (!fits) {
      throw new ScriptException(at, "a " + type(v) + " cannot be a key");
    }
    return v instanceof Double d && d == Math.rint(d) && Math.abs(d) < 1e15
        ? (Object) (long) (double) d
        : v;
  }

  // --- Arithmetic --------------------------------------------------------------------------------

  Object combine(String op, Object a, Object b, Place at) {
    if (a instanceof Long x && b instanceof Long y) {
      return whole(op, x, y, at);
    }
    if (a instanceof Number x && b instanceof Number y) {
      return real(op, x.doubleValue(), y.doubleValue(), at);
    }
    if (op.equals("+") && a instanceof String x && b instanceof String y) {
      meter.make((long) x.length() + y.length(), at);
      return x + y;
    }
    if (op.equals("+") && a instanceof List && b instanceof List && type(a).equals(type(b))) {
      meter.make((long) list(a).size() + list(b).size(), at);
      List<Object> joined = new ArrayList<>(list(a));
      joined.addAll(list(b));
      return a instanceof Tuple ? new Tuple(joined) : joined;
    }
    if (op.equals("|") && a instanceof Map && b instanceof Map) {
      meter.make((long) dict(a).size() + dict(b).size(), at);
      Map<Object, Object> joined = new LinkedHashMap<>(dict(a));
      joined.putAll(dict(b));
      return joined;
    }
    if (op.equals("*") && b instanceof Long n && (a instanceof String || a instanceof List)) {
      return repeat(a, n, at);
    }
    if (op.equals("*") && a instanceof Long n && (b instanceof String || b instanceof List)) {
      return repeat(b, n, at);
    }
    if (op.equals("%") && a instanceof String s) {
      return percent(s, b, at);
    }
    throw new ScriptException(
        at, "'" + op + "' does not go with a " + type(a) + " and a " + type(b));
  }

  private Object whole(String op, long x, long y, Place at) {
    try {
      return switch (op) {
        case "+" -> Math.addExact(x, y);
        case "-" -> Math.subtractExact(x, y);
        case "*" -> Math.multiplyExact(x, y);
        case "/" -> real(op, x, y, at);
        case "//" -> Math.floorDiv(x, divisor(y, at));
        case "%" -> Math.floorMod(x, divisor(y, at));
        default -> throw new ScriptException(at, "'" + op + "' does not go with numbers");
      };
    } catch (ArithmeticException e) {
      throw new ScriptException(at, "the number is too large");
    }
  }

  private static long divisor(long y, Place at) {
    if (y == 0) {
      throw new ScriptException(at, "division by zero");
    }
    return y;
  }

  private Object real(String op, double x, double y, Place at) {
    if (y == 0 && !op.equals("+") && !op.equals("-") && !op.equals("*")) {
      throw new ScriptException(at, "division by zero");
    }
    double made =
        switch (op) {
          case "+" -> x + y;
          case "-" -> x - y;
          case "*" -> x * y;
          case "/" -> x / y;
          case "//" -> Math.floor(x / y);
          case "%" -> x - y * Math.floor(x / y);
          default -> throw new ScriptException(at, "'" + op + "' does not go with numbers");
        };
    if (Double.isNaN(made) || Double.isInfinite(made)) {
      throw new ScriptException(at, "the number is too large");
    }
    return made;
  }

  private Object repeat(Object a, long times, Place at) {
    long n = Math.max(0, times);
    long size = a instanceof String s ? s.length() : list(a).size();
    if (size > 0 && n > Integer.MAX_VALUE / size) {
      throw new ScriptException(at, "the value is too large");
    }
    meter.make(n * size, at);
    if (a instanceof String s) {
      return s.repeat((int) n);
    }
    List<Object> made = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      made.addAll(list(a));
    }
    return a instanceof Tuple ? new Tuple(made) : made;
  }

  Object negative(Object v, Place at) {
    return v instanceof Long l
        ? whole("-", 0, l, at)
        : v instanceof Double d ? (Object) (-d) : fail(at, "-", v);
  }

  private static Object fail(Place at, String op, Object v) {
    throw new ScriptException(at, "'" + op + "' does not go with a " + type(v));
  }

  // --- Comparisons -------------------------------------------------------------------------------

  boolean compare(String op, Object a, Object b, Place at) {
    return switch (op) {
      case "==" -> equal(a, b, 0, at);
      case "!=" -> !equal(a, b, 0, at);
      case "in" -> contains(b, a, at);
      case "<" -> order(a, b, 0, at) < 0;
      case ">" -> order(a, b, 0, at) > 0;
      case "<=" -> order(a, b, 0, at) <= 0;
      default -> order(a, b, 0, at) >= 0;
    };
  }

  private boolean contains(Object in, Object v, Place at) {
    if (in instanceof String s && v instanceof String part) {
      return s.contains(part);
    }
    if (in instanceof Map) {
      return dict(in).containsKey(key(v, at));
    }
    if (in instanceof List) {
      return list(in).stream().anyMatch(e -> equal(e, v, 0, at));
    }
    throw new ScriptException(at, "'in' does not go with a " + type(in));
  }

  boolean equal(Object a, Object b, int depth, Place at) {
    step(depth, at);
    if (a instanceof Number x && b instanceof Number y) {
      return a instanceof Long && b instanceof Long
          ? a.equals(b)
          : x.doubleValue() == y.doubleValue();
    }
    if (a instanceof List && b instanceof List) {
      Iterator<Object> x = list(a).iterator();
      Iterator<Object> y = list(b).iterator();
      while (x.hasNext() && y.hasNext()) {
        if (!equal(x.next(), y.next(), depth + 1, at)) {
          return false;
        }
      }
      return !x.hasNext() && !y.hasNext() && type(a).equals(type(b));
    }
    if (a instanceof Map && b instanceof Map) {
      return dict(a).size() == dict(b).size()
          && dict(a).entrySet().stream()
              .allMatch(
                  e ->
                      dict(b).containsKey(e.getKey())
                          && equal(e.getValue(), dict(b).get(e.getKey()), depth + 1, at));
    }
    return a.equals(b);
  }

  int order(Object a, Object b, int depth, Place at) {
    step(depth, at);
    if (a instanceof Long x && b instanceof Long y) {
      return x.compareTo(y);
    }
    if (a instanceof Number x && b instanceof Number y) {
      return Double.compare(x.doubleValue(), y.doubleValue());
    }
    if (a instanceof String x && b instanceof String y) {
      return x.compareTo(y);
    }
    if (a instanceof Boolean x && b instanceof Boolean y) {
      return x.compareTo(y);
    }
    if (a instanceof List && b instanceof List) {
      for (int i = 0; i < Math.min(list(a).size(), list(b).size()); i++) {
        int here = order(list(a).get(i), list(b).get(i), depth + 1, at);
        if (here != 0) {
          return here;
        }
      }
      return Integer.compare(list(a).size(), list(b).size());
    }
    throw new ScriptException(at, "a " + type(a) + " and a " + type(b) + " have no order");
  }

  /** Guards against a list that holds itself. */
  private void step(int depth, Place at) {
    meter.step(at);
    if (depth > DEEPEST) {
      throw new ScriptException(at, "nested more than " + DEEPEST + " deep");
    }
  }

  // --- Text --------------------------------------------------------------------------------------

  String text(Object v, Place at) {
    return v instanceof String s ? s : written(v, at);
  }

  String written(Object v, Place at) {
    StringBuilder out = new StringBuilder();
    write(v, out, 0, at);
    return out.toString();
  }

  private void write(Object v, StringBuilder out, int depth, Place at) {
    step(depth, at);
    int before = out.length();
    if (v instanceof String s) {
      out.append('"')
          .append(s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n"))
          .append('"');
    } else if (v instanceof Boolean b) {
      out.append(b ? "True" : "False");
    } else if (v instanceof List) {
      out.append(v instanceof Tuple ? '(' : '[');
      String between = "";
      for (Object e : list(v)) {
        out.append(between);
        write(e, out, depth + 1, at);
        between = ", ";
      }
      out.append(v instanceof Tuple ? list(v).size() == 1 ? ",)" : ")" : "]");
    } else if (v instanceof Map) {
      out.append('{');
      String between = "";
      for (Map.Entry<Object, Object> e : dict(v).entrySet()) {
        out.append(between);
        write(e.getKey(), out, depth + 1, at);
        out.append(": ");
        write(e.getValue(), out, depth + 1, at);
        between = ", ";
      }
      out.append('}');
    } else {
      out.append(v);
    }
    meter.make(out.length() - before, at);
  }

  /** {@code "%s of %d" % (a, b)}: the letters s, r, d, f and g, and the sign itself. */
  private String percent(String form, Object given, Place at) {
    List<Object> values = given instanceof Tuple ? list(given) : List.of(given);
    StringBuilder out = new StringBuilder();
    int next = 0;
    for (int i = 0; i < form.length(); i++) {
      char c = form.charAt(i);
      if (c != '%') {
        out.append(c);
        continue;
      }
      char letter = ++i < form.length() ? form.charAt(i) : ' ';
      if (letter == '%') {
        out.append('%');
        continue;
      }
      if (next >= values.size()) {
        throw new ScriptException(at, "there are fewer values than places in the text");
      }
      out.append(placed(letter, values.get(next++), at));
    }
    if (next < values.size()) {
      throw new ScriptException(at, "there are more values than places in the text");
    }
    meter.make(out.length(), at);
    return out.toString();
  }

  private String placed(char letter, Object v, Place at) {
    return switch (letter) {
      case 's' -> text(v, at);
      case 'r' -> written(v, at);
      case 'd' ->
          v instanceof Number n
              ? String.valueOf((long) n.doubleValue())
              : (String) fail(at, "%d", v);
      case 'f' ->
          v instanceof Number n
              ? String.format(Locale.ROOT, "%f", n.doubleValue())
              : (String) fail(at, "%f", v);
      case 'g' ->
          v instanceof Number n ? String.valueOf(n.doubleValue()) : (String) fail(at, "%g", v);
      default -> throw new ScriptException(at, "'%" + letter + "' is not one of %s %r %d %f %g %%");
    };
  }
}
