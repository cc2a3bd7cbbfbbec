package bitternpulley.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The arithmetic operators, including those on strings, lists and dicts. */
final class Arithmetic {
  private final EvaluationBudget budget;
  private final StringFormatting formatting;

  Arithmetic(EvaluationBudget budget, StringFormatting formatting) {
    this.budget = budget;
    this.formatting = formatting;
  }

  /** Applies a binary operator: {@code + - * / // %} or {@code |}. */
  Object applyBinary(String operator, Object left, Object right, SourcePosition position) {
    if (left instanceof Long first && right instanceof Long second) {
      return applyToIntegers(operator, first, second, position);
    }
    if (left instanceof Number first && right instanceof Number second) {
      return applyToFloats(operator, first.doubleValue(), second.doubleValue(), position);
    }
    Object result =
        switch (operator) {
          case "+" -> concatenate(left, right, position);
          case "|" -> union(left, right, position);
          case "*" -> multiply(left, right, position);
          case "%" ->
              left instanceof String template
                  ? formatting.formatPercent(template, right, position)
                  : null;
          default -> null;
        };
    if (result == null) {
      throw new ScriptException(
          position,
          "'"
              + operator
              + "' is not supported for operands of type "
              + Values.typeName(left)
              + " and "
              + Values.typeName(right));
    }
    return result;
  }

  private Object applyToIntegers(String operator, long left, long right, SourcePosition position) {
    try {
      return switch (operator) {
        case "+" -> Math.addExact(left, right);
        case "-" -> Math.subtractExact(left, right);
        case "*" -> Math.multiplyExact(left, right);
        case "/" -> applyToFloats(operator, (double) left, (double) right, position);
        case "//" -> Math.floorDiv(left, nonZero(right, position));
        case "%" -> Math.floorMod(left, nonZero(right, position));
        default -> throw unsupportedForNumbers(operator, position);
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

  private static Object applyToFloats(
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
          default -> throw unsupportedForNumbers(operator, position);
        };
    if (Double.isNaN(result) || Double.isInfinite(result)) {
      throw tooLarge(position);
    }
    return result;
  }

  private static ScriptException unsupportedForNumbers(String operator, SourcePosition position) {
    return new ScriptException(position, "'" + operator + "' is not supported for numbers");
  }

  private static ScriptException tooLarge(SourcePosition position) {
    return new ScriptException(position, "the number is too large");
  }

  /** Concatenates strings, lists or tuples; returns null for values of other or mixed types. */
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
    budget.reserve((long) Values.asList(left).size() + Values.asList(right).size(), position);
    List<Object> concatenated = new ArrayList<>(Values.asList(left));
    concatenated.addAll(Values.asList(right));
    return Values.newSequenceLike(left, concatenated);
  }

  /** Merges two dicts; returns null if a value is not a dict. */
  private Object union(Object left, Object right, SourcePosition position) {
    if (!(left instanceof Map) || !(right instanceof Map)) {
      return null;
    }
    budget.reserve((long) Values.asDict(left).size() + Values.asDict(right).size(), position);
    Map<Object, Object> union = new LinkedHashMap<>(Values.asDict(left));
    union.putAll(Values.asDict(right));
    return union;
  }

  /**
   * Repeats a string or list; returns null unless one value is an integer and the other a string or
   * list.
   */
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
    long size = value instanceof String text ? text.length() : Values.asList(value).size();
    if (size > 0 && count > Integer.MAX_VALUE / size) {
      throw new ScriptException(position, "the value is too large");
    }
    budget.reserve(count * size, position);
    if (value instanceof String text) {
      return text.repeat((int) count);
    }
    List<Object> repeated = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      repeated.addAll(Values.asList(value));
    }
    return Values.newSequenceLike(value, repeated);
  }

  /** The unary minus operator. */
  Object negate(Object value, SourcePosition position) {
    if (value instanceof Long integer) {
      return applyToIntegers("-", 0, integer, position);
    }
    if (value instanceof Double number) {
      return -number;
    }
    throw new ScriptException(
        position, "'-' is not supported for an operand of type " + Values.typeName(value));
  }
}
