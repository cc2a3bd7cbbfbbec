package bitternpulley.script;

import java.util.List;
import java.util.Locale;

/** Formats strings: the {@code %} operator and {@code format()}. */
final class StringFormatting {
  private final EvaluationBudget budget;
  private final ValueFormatter valueFormatter;

  StringFormatting(EvaluationBudget budget, ValueFormatter valueFormatter) {
    this.budget = budget;
    this.valueFormatter = valueFormatter;
  }

  /** The result of {@code "%s of %d" % (first, second)}. */
  String formatPercent(String template, Object operand, SourcePosition position) {
    List<Object> values = operand instanceof Tuple ? Values.asList(operand) : List.of(operand);
    StringBuilder result = new StringBuilder();
    int nextValue = 0;
    int index = 0;
    while (index < template.length()) {
      if (template.charAt(index) != '%') {
        result.append(template.charAt(index));
        index++;
        continue;
      }
      char conversion = index + 1 < template.length() ? template.charAt(index + 1) : ' ';
      index += 2;
      if (conversion == '%') {
        result.append('%');
        continue;
      }
      if (nextValue >= values.size()) {
        throw new ScriptException(position, "there are fewer values than placeholders");
      }
      result.append(convert(conversion, values.get(nextValue), position));
      nextValue++;
    }
    if (nextValue < values.size()) {
      throw new ScriptException(position, "there are more values than placeholders");
    }
    budget.reserve(result.length(), position);
    return result.toString();
  }

  private String convert(char conversion, Object value, SourcePosition position) {
    return switch (conversion) {
      case 's' -> valueFormatter.str(value, position);
      case 'r' -> valueFormatter.repr(value, position);
      case 'd' -> String.valueOf((long) number(conversion, value, position));
      case 'f' -> String.format(Locale.ROOT, "%f", number(conversion, value, position));
      case 'g' -> String.valueOf(number(conversion, value, position));
      default ->
          throw new ScriptException(
              position, "'%" + conversion + "' is not one of %s %r %d %f %g %%");
    };
  }

  private static double number(char conversion, Object value, SourcePosition position) {
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    throw new ScriptException(
        position,
        "'%" + conversion + "' is not supported for a value of type " + Values.typeName(value));
  }

  /** The result of {@code "{} of {total}".format(1, total = 3)}. */
  String format(String template, Arguments arguments, SourcePosition position) {
    FormatArguments formatArguments = new FormatArguments(arguments, position);
    StringBuilder result = new StringBuilder();
    int index = 0;
    while (index < template.length()) {
      char character = template.charAt(index);
      if (character != '{' && character != '}') {
        result.append(character);
        index++;
      } else if (isDoubled(template, index)) {
        result.append(character);
        index += 2;
      } else {
        int end = fieldEnd(template, index, position);
        Object value = formatArguments.value(template.substring(index + 1, end));
        String replacement = valueFormatter.str(value, position);
        budget.reserve(replacement.length(), position);
        result.append(replacement);
        index = end + 1;
      }
    }
    budget.reserve(result.length(), position);
    return result.toString();
  }

  private static boolean isDoubled(String template, int index) {
    return index + 1 < template.length() && template.charAt(index + 1) == template.charAt(index);
  }

  private static int fieldEnd(String template, int start, SourcePosition position) {
    int end = template.indexOf('}', start);
    if (template.charAt(start) == '}' || end < 0) {
      throw new ScriptException(position, "unmatched brace in the format string");
    }
    return end;
  }
}
