package bitternpulley.script;

/** Conversions of values to numbers. */
final class Conversions {
  /** Magnitude below which every {@code double} has an integral part that fits a {@code long}. */
  private static final double MAX_CONVERTIBLE = 9e18;

  private final ValueFormatter valueFormatter;

  Conversions(ValueFormatter valueFormatter) {
    this.valueFormatter = valueFormatter;
  }

  Object toInteger(Object value, SourcePosition position) {
    if (value instanceof Long) {
      return value;
    }
    if (value instanceof Boolean flag) {
      return flag ? 1L : 0L;
    }
    if (value instanceof Double number && Math.abs(number) < MAX_CONVERTIBLE) {
      return number.longValue();
    }
    if (value instanceof String text) {
      return parseInteger(text, position);
    }
    throw BuiltinFunctions.wrongType("int", value, position);
  }

  private long parseInteger(String text, SourcePosition position) {
    try {
      return Long.parseLong(text.strip());
    } catch (NumberFormatException invalid) {
      throw new ScriptException(
          position, valueFormatter.repr(text, position) + " is not a whole number");
    }
  }

  Object toFloat(Object value, SourcePosition position) {
    double number = number(value, position);
    if (Double.isNaN(number) || Double.isInfinite(number)) {
      throw new ScriptException(position, "the number is not finite");
    }
    return number;
  }

  private double number(Object value, SourcePosition position) {
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    if (value instanceof String text) {
      return parseFloat(text, position);
    }
    throw BuiltinFunctions.wrongType("float", value, position);
  }

  private double parseFloat(String text, SourcePosition position) {
    try {
      return Double.parseDouble(text.strip());
    } catch (NumberFormatException invalid) {
      throw new ScriptException(position, valueFormatter.repr(text, position) + " is not a number");
    }
  }

  static Object absolute(Object value, SourcePosition position) {
    if (value instanceof Long integer && integer != Long.MIN_VALUE) {
      return Math.abs(integer);
    }
    if (value instanceof Double number) {
      return Math.abs(number);
    }
    throw BuiltinFunctions.wrongType("abs", value, position);
  }
}
