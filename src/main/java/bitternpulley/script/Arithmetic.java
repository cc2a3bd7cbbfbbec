package bitternpulley.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The arithmetic operators, also of texts, lists and dicts. */
final class Arithmetic {
  private final EvaluationBudget budget;
  private final StringFormatting formatting;

  Arithmetic(EvaluationBudget budget, StringFormatting formatting) {
    this.budget = budget;
    this.formatting = formatting;
  }

  /** The result of a binary operator: {@code + - * / // %} or {@code |}. */
  Object combine(String operator, Object left, Object right, SourcePosition position) {
    if (left instanceof Long first && right instanceof Long second) {
      return combineIntegers(operator, first, second, position);
    }
    if (left instanceof Number first && right instanceof Number second) {
      return combineFloats(operator, first.doubleValue(), second.doubleValue(), position);
    }
    Object result =
        switch (operator) {
          case "+" -> concatenate(left, right, position);
          case "|" -> union(left, right, position);
          case "*" -> multiply(left, right, position);
          case "%" ->
              left instanceof String form ? formatting.percent(form, right, position) : null;
          default -> null;
        };
    if (result == null) {
      throw new ScriptException(
          position,
          "'"
              + operator
              + "' does not go with a "
              + Values.typeName(left)
              + " and a "
              + Values.typeName(right));
    }
    return result;
  }

  private Object combineIntegers(String operator, long left, long right, SourcePosition position) {
    try {
      return switch (operator) {
        case "+" -> Math.addExact(left, right);
        case "-" -> Math.subtractExact(left, right);
        case "*" -> Math.multiplyExact(left, right);
        case "/" -> combineFloats(operator, (double) left, (double) right, position);
        case "//" -> Math.floorDiv(left, nonZero(right, position));
        case "%" -> Math.floorMod(left, nonZero(right, position));
        default -> throw notForNumbers(operator, position);
      };
    } catch (ArithmeticException overflow) {
      throw tooLarge(position);
    }
  }

  private static long nonZero(long divisor, SourcePosition position) {
    if (divisor == 0) {
      throw new ScriptException(position, "division by zero");
    }
    return divisor;
  }

  private static Object combineFloats(
      String operator, double left, double right, SourcePosition position) {
    boolean isDivision = !operator.equals("+") && !operator.equals("-") && !operator.equals("*");
    if (right == 0 && isDivision) {
      throw new ScriptException(position, "division by zero");
    }
    double result =
        switch (operator) {
          case "+" -> left + right;
          case "-" -> left - right;
          case "*" -> left * right;
          case "/" -> left / right;
          case "//" -> Math.floor(left / right);
          case "%" -> left - right * Math.floor(left / right);
          default -> throw notForNumbers(operator, position);
        };
    if (Double.isNaN(result) || Double.isInfinite(result)) {
      throw tooLarge(position);
    }
    return result;
  }

  private static ScriptException notForNumbers(String operator, SourcePosition position) {
    return new ScriptException(position, "'" + operator + "' does not go with numbers");
  }

  private static ScriptException tooLarge(SourcePosition position) {
    return new ScriptException(position, "the number is too large");
  }

  /** Null where the values cannot be concatenated. */
  private Object concatenate(Object left, Object right, SourcePosition position) {
    if (left instanceof String first && right instanceof String second) {
      budget.reserve((long) first.length() + second.length(), position);
      return first + second;
    }
    if (!(left instanceof List)
        || !(right instanceof List)
        || !Values.typeName(left).equals(Values.typeName(right))) {
      return null;
    }
    budget.reserve((long) Values.list(left).size() + Values.list(right).size(), position);
    List<Object> joined = new ArrayList<>(Values.list(left));
    joined.addAll(Values.list(right));
    return Values.listLike(left, joined);
  }

  /** Null where a value is no dict. */
  private Object union(Object left, Object right, SourcePosition position) {
    if (!(left instanceof Map) || !(right instanceof Map)) {
      return null;
    }
    budget.reserve((long) Values.dict(left).size() + Values.dict(right).size(), position);
    Map<Object, Object> union = new LinkedHashMap<>(Values.dict(left));
    union.putAll(Values.dict(right));
    return union;
  }

  /** Null where not exactly one value is an integer and the other a text or list. */
  private Object multiply(Object left, Object right, SourcePosition position) {
    if (right instanceof Long times && isRepeatable(left)) {
      return repeat(left, times, position);
    }
    if (left instanceof Long times && isRepeatable(right)) {
      return repeat(right, times, position);
    }
    return null;
  }

  private static boolean isRepeatable(Object value) {
    return value instanceof String || value instanceof List;
  }

  private Object repeat(Object value, long times, SourcePosition position) {
    long count = Math.max(0, times);
    long size = value instanceof String text ? text.length() : Values.list(value).size();
    if (size > 0 && count > Integer.MAX_VALUE / size) {
      throw new ScriptException(position, "the value is too large");
    }
    budget.reserve(count * size, position);
    if (value instanceof String text) {
      return text.repeat((int) count);
    }
    List<Object> repeated = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      repeated.addAll(Values.list(value));
    }
    return Values.listLike(value, repeated);
  }

  /** The value with the opposite sign. */
  Object negate(Object value, SourcePosition position) {
    if (value instanceof Long integer) {
      return combineIntegers("-", 0, integer, position);
    }
    if (value instanceof Double number) {
      return -number;
    }
    throw new ScriptException(position, "'-' does not go with a " + Values.typeName(value));
  }
}
