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
  private static final int MAX_VALUE_DEPTH = 100;

  private final EvaluationBudget meter;

  Values(EvaluationBudget meter) {
    this.meter = meter;
  }

  static String typeName(Object value) {
    return value instanceof Long
        ? "int"
        : value instanceof Double
            ? "float"
            : value instanceof Boolean
                ? "bool"
                : value instanceof String
                    ? "string"
                    : value instanceof Map
                        ? "dict"
                        : value instanceof Tuple
                            ? "tuple"
                            : value instanceof List
                                ? "list"
                                : value instanceof Function
                                    ? "function"
                                    : value instanceof None ? "NoneType" : "value";
  }

  static boolean isTruthy(Object value) {
    return value instanceof Boolean b
        ? b
        : value instanceof Long integer
            ? integer != 0
            : value instanceof Double number
                ? number != 0
                : value instanceof String text
                    ? !text.isEmpty()
                    : value instanceof Collection<?> c
                        ? !c.isEmpty()
                        : value instanceof Map<?, ?> m ? !m.isEmpty() : value != None.NONE;
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
  static List<Object> list(Object value) {
    return (List<Object>) value;
  }

  @SuppressWarnings("unchecked")
  static Map<Object, Object> dict(Object value) {
    return (Map<Object, Object>) value;
  }

  /** The elements of what a loop goes over, as they are now. */
  List<Object> elements(Object value, Place position) {
    if (value instanceof List) {
      meter.reserve(list(value).size(), position);
      return new ArrayList<>(list(value));
    }
    if (value instanceof Map) {
      meter.reserve(dict(value).size(), position);
      return new ArrayList<>(dict(value).keySet());
    }
    throw new ScriptException(position, "a " + typeName(value) + " has no elements to go over");
  }

  Object key(Object value, Place position) {
    boolean fits =
        value instanceof String
            || value instanceof Long
            || value instanceof Boolean
            || value instanceof Double
            || value instanceof None
            || value instanceof Tuple t
                && t.stream().allMatch(e -> !(e instanceof List) || e instanceof Tuple);
    if (!fits) {
      throw new ScriptException(position, "a " + typeName(value) + " cannot be a key");
    }
    return value instanceof Double number && number == Math.rint(number) && Math.abs(number) < 1e15
        ? (Object) (long) (double) number
        : value;
  }

  // --- Arithmetic --------------------------------------------------------------------------------

  Object combine(String op, Object left, Object right, Place position) {
    if (left instanceof Long first && right instanceof Long second) {
      return integerResult(op, first, second, position);
    }
    if (left instanceof Number first && right instanceof Number second) {
      return floatResult(op, first.doubleValue(), second.doubleValue(), position);
    }
    if (op.equals("+") && left instanceof String first && right instanceof String second) {
      meter.reserve((long) first.length() + second.length(), position);
      return first + second;
    }
    if (op.equals("+")
        && left instanceof List
        && right instanceof List
        && typeName(left).equals(typeName(right))) {
      meter.reserve((long) list(left).size() + list(right).size(), position);
      List<Object> joined = new ArrayList<>(list(left));
      joined.addAll(list(right));
      return left instanceof Tuple ? new Tuple(joined) : joined;
    }
    if (op.equals("|") && left instanceof Map && right instanceof Map) {
      meter.reserve((long) dict(left).size() + dict(right).size(), position);
      Map<Object, Object> joined = new LinkedHashMap<>(dict(left));
      joined.putAll(dict(right));
      return joined;
    }
    if (op.equals("*")
        && right instanceof Long times
        && (left instanceof String || left instanceof List)) {
      return repeat(left, times, position);
    }
    if (op.equals("*")
        && left instanceof Long times
        && (right instanceof String || right instanceof List)) {
      return repeat(right, times, position);
    }
    if (op.equals("%") && left instanceof String text) {
      return percent(text, right, position);
    }
    throw new ScriptException(
        position,
        "'" + op + "' does not go with a " + typeName(left) + " and a " + typeName(right));
  }

  private Object integerResult(String op, long first, long second, Place position) {
    try {
      return switch (op) {
        case "+" -> Math.addExact(first, second);
        case "-" -> Math.subtractExact(first, second);
        case "*" -> Math.multiplyExact(first, second);
        case "/" -> floatResult(op, first, second, position);
        case "//" -> Math.floorDiv(first, divisor(second, position));
        case "%" -> Math.floorMod(first, divisor(second, position));
        default -> throw new ScriptException(position, "'" + op + "' does not go with numbers");
      };
    } catch (ArithmeticException e) {
      throw new ScriptException(position, "the number is too large");
    }
  }

  private static long divisor(long second, Place position) {
    if (second == 0) {
      throw new ScriptException(position, "division by zero");
    }
    return second;
  }

  private Object floatResult(String op, double first, double second, Place position) {
    if (second == 0 && !op.equals("+") && !op.equals("-") && !op.equals("*")) {
      throw new ScriptException(position, "division by zero");
    }
    double made =
        switch (op) {
          case "+" -> first + second;
          case "-" -> first - second;
          case "*" -> first * second;
          case "/" -> first / second;
          case "//" -> Math.floor(first / second);
          case "%" -> first - second * Math.floor(first / second);
          default -> throw new ScriptException(position, "'" + op + "' does not go with numbers");
        };
    if (Double.isNaN(made) || Double.isInfinite(made)) {
      throw new ScriptException(position, "the number is too large");
    }
    return made;
  }

  private Object repeat(Object left, long times, Place position) {
    long n = Math.max(0, times);
    long size = left instanceof String text ? text.length() : list(left).size();
    if (size > 0 && n > Integer.MAX_VALUE / size) {
      throw new ScriptException(position, "the value is too large");
    }
    meter.reserve(n * size, position);
    if (left instanceof String text) {
      return text.repeat((int) n);
    }
    List<Object> made = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      made.addAll(list(left));
    }
    return left instanceof Tuple ? new Tuple(made) : made;
  }

  Object negative(Object value, Place position) {
    return value instanceof Long integer
        ? integerResult("-", 0, integer, position)
        : value instanceof Double number ? (Object) (-number) : fail(position, "-", value);
  }

  private static Object fail(Place position, String op, Object value) {
    throw new ScriptException(position, "'" + op + "' does not go with a " + typeName(value));
  }

  // --- Comparisons -------------------------------------------------------------------------------

  boolean compare(String op, Object left, Object right, Place position) {
    return switch (op) {
      case "==" -> equal(left, right, 0, position);
      case "!=" -> !equal(left, right, 0, position);
      case "in" -> contains(right, left, position);
      case "<" -> order(left, right, 0, position) < 0;
      case ">" -> order(left, right, 0, position) > 0;
      case "<=" -> order(left, right, 0, position) <= 0;
      default -> order(left, right, 0, position) >= 0;
    };
  }

  private boolean contains(Object in, Object value, Place position) {
    if (in instanceof String text && value instanceof String part) {
      return text.contains(part);
    }
    if (in instanceof Map) {
      return dict(in).containsKey(key(value, position));
    }
    if (in instanceof List) {
      return list(in).stream().anyMatch(e -> equal(e, value, 0, position));
    }
    throw new ScriptException(position, "'in' does not go with a " + typeName(in));
  }

  boolean equal(Object left, Object right, int depth, Place position) {
    step(depth, position);
    if (left instanceof Number first && right instanceof Number second) {
      return left instanceof Long && right instanceof Long
          ? left.equals(right)
          : first.doubleValue() == second.doubleValue();
    }
    if (left instanceof List && right instanceof List) {
      Iterator<Object> x = list(left).iterator();
      Iterator<Object> y = list(right).iterator();
      while (x.hasNext() && y.hasNext()) {
        if (!equal(x.next(), y.next(), depth + 1, position)) {
          return false;
        }
      }
      return !x.hasNext() && !y.hasNext() && typeName(left).equals(typeName(right));
    }
    if (left instanceof Map && right instanceof Map) {
      return dict(left).size() == dict(right).size()
          && dict(left).entrySet().stream()
              .allMatch(
                  e ->
                      dict(right).containsKey(e.getKey())
                          && equal(e.getValue(), dict(right).get(e.getKey()), depth + 1, position));
    }
    return left.equals(right);
  }

  int order(Object left, Object right, int depth, Place position) {
    step(depth, position);
    if (left instanceof Long first && right instanceof Long second) {
      return first.compareTo(second);
    }
    if (left instanceof Number first && right instanceof Number second) {
      return Double.compare(first.doubleValue(), second.doubleValue());
    }
    if (left instanceof String first && right instanceof String second) {
      return first.compareTo(second);
    }
    if (left instanceof Boolean first && right instanceof Boolean second) {
      return first.compareTo(second);
    }
    if (left instanceof List && right instanceof List) {
      for (int i = 0; i < Math.min(list(left).size(), list(right).size()); i++) {
        int here = order(list(left).get(i), list(right).get(i), depth + 1, position);
        if (here != 0) {
          return here;
        }
      }
      return Integer.compare(list(left).size(), list(right).size());
    }
    throw new ScriptException(
        position, "a " + typeName(left) + " and a " + typeName(right) + " have no order");
  }

  /** Guards against a list that holds itself. */
  private void step(int depth, Place position) {
    meter.recordStep(position);
    if (depth > MAX_VALUE_DEPTH) {
      throw new ScriptException(position, "nested more than " + MAX_VALUE_DEPTH + " deep");
    }
  }

  // --- Text --------------------------------------------------------------------------------------

  String text(Object value, Place position) {
    return value instanceof String text ? text : literal(value, position);
  }

  String literal(Object value, Place position) {
    StringBuilder out = new StringBuilder();
    write(value, out, 0, position);
    return out.toString();
  }

  private void write(Object value, StringBuilder out, int depth, Place position) {
    step(depth, position);
    int before = out.length();
    if (value instanceof String text) {
      out.append('"')
          .append(text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n"))
          .append('"');
    } else if (value instanceof Boolean b) {
      out.append(b ? "True" : "False");
    } else if (value instanceof List) {
      out.append(value instanceof Tuple ? '(' : '[');
      String between = "";
      for (Object e : list(value)) {
        out.append(between);
        write(e, out, depth + 1, position);
        between = ", ";
      }
      out.append(value instanceof Tuple ? list(value).size() == 1 ? ",)" : ")" : "]");
    } else if (value instanceof Map) {
      out.append('{');
      String between = "";
      for (Map.Entry<Object, Object> e : dict(value).entrySet()) {
        out.append(between);
        write(e.getKey(), out, depth + 1, position);
        out.append(": ");
        write(e.getValue(), out, depth + 1, position);
        between = ", ";
      }
      out.append('}');
    } else {
      out.append(value);
    }
    meter.reserve(out.length() - before, position);
  }

  /** {@code "%s of %d" % (a, b)}: the letters s, r, d, f and g, and the sign itself. */
  private String percent(String form, Object given, Place position) {
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
        throw new ScriptException(position, "there are fewer values than places in the text");
      }
      out.append(placed(letter, values.get(next++), position));
    }
    if (next < values.size()) {
      throw new ScriptException(position, "there are more values than places in the text");
    }
    meter.reserve(out.length(), position);
    return out.toString();
  }

  private String placed(char letter, Object value, Place position) {
    return switch (letter) {
      case 's' -> text(value, position);
      case 'r' -> literal(value, position);
      case 'd' ->
          value instanceof Number number
              ? String.valueOf((long) number.doubleValue())
              : (String) fail(position, "%d", value);
      case 'f' ->
          value instanceof Number number
              ? String.format(Locale.ROOT, "%f", number.doubleValue())
              : (String) fail(position, "%f", value);
      case 'g' ->
          value instanceof Number number
              ? String.valueOf(number.doubleValue())
              : (String) fail(position, "%g", value);
      default ->
          throw new ScriptException(position, "'%" + letter + "' is not one of %s %r %d %f %g %%");
    };
  }
}
