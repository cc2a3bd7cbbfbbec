package bitternpulley.script;

import java.util.List;
import java.util.Locale;

/** Replaces the placeholders of texts: those of the {@code %} operator and of {@code format()}. */
final class StringFormatting {
  private final EvaluationBudget budget;
  private final ValueFormatter valueFormatter;

  StringFormatting(EvaluationBudget budget, ValueFormatter valueFormatter) {
    this.budget = budget;
    this.valueFormatter = valueFormatter;
  }

  /** The result of {@code "%s of %d" % (first, second)}. */
  String percent(String form, Object given, SourcePosition position) {
    List<Object> values = given instanceof Tuple ? Values.list(given) : List.of(given);
    StringBuilder result = new StringBuilder();
    int nextValue = 0;
    int index = 0;
    while (index < form.length()) {
      if (form.charAt(index) != '%') {
        result.append(form.charAt(index));
        index++;
        continue;
      }
      char conversion = index + 1 < form.length() ? form.charAt(index + 1) : ' ';
      index += 2;
      if (conversion == '%') {
        result.append('%');
        continue;
      }
      if (nextValue >= values.size()) {
        throw new ScriptException(position, "there are fewer values than places in the text");
      }
      result.append(convert(conversion, values.get(nextValue), position));
      nextValue++;
    }
    if (nextValue < values.size()) {
      throw new ScriptException(position, "there are more values than places in the text");
    }
    budget.reserve(result.length(), position);
    return result.toString();
  }

  private String convert(char conversion, Object value, SourcePosition position) {
    return switch (conversion) {
      case 's' -> valueFormatter.text(value, position);
      case 'r' -> valueFormatter.literal(value, position);
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
        position, "'%" + conversion + "' does not go with a " + Values.typeName(value));
  }

  /** The result of {@code "{} of {total}".format(1, total = 3)}. */
  String format(String form, Arguments given, SourcePosition position) {
    FormatArguments arguments = new FormatArguments(given, position);
    StringBuilder result = new StringBuilder();
    int index = 0;
    while (index < form.length()) {
      char character = form.charAt(index);
      if (character != '{' && character != '}') {
        result.append(character);
        index++;
      } else if (isDoubled(form, index)) {
        result.append(character);
        index += 2;
      } else {
        int end = fieldEnd(form, index, position);
        Object value = arguments.value(form.substring(index + 1, end));
        String replacement = valueFormatter.text(value, position);
        budget.reserve(replacement.length(), position);
        result.append(replacement);
        index = end + 1;
      }
    }
    budget.reserve(result.length(), position);
    return result.toString();
  }

  private static boolean isDoubled(String form, int index) {
    return index + 1 < form.length() && form.charAt(index + 1) == form.charAt(index);
  }

  private static int fieldEnd(String form, int start, SourcePosition position) {
    int end = form.indexOf('}', start);
    if (form.charAt(start) == '}' || end < 0) {
      throw new ScriptException(position, "a bracket in the text has no other");
    }
    return end;
  }
}
