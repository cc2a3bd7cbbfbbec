package bitternpulley.script;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** The methods of strings. */
final class StringMethods {
  private final EvaluationBudget budget;
  private final Values values;
  private final StringFormatting formatting;

  StringMethods(EvaluationBudget budget, Values values, StringFormatting formatting) {
    this.budget = budget;
    this.values = values;
    this.formatting = formatting;
  }

  String format(String template, Arguments arguments, SourcePosition position) {
    return formatting.format(template, arguments, position);
  }

  Object call(String text, String name, List<Object> arguments, SourcePosition position) {
    budget.reserve(text.length(), position);
    if (arguments.isEmpty()) {
      return call(text, name, position);
    }
    if (name.equals("join") && arguments.size() == 1) {
      return join(text, arguments.get(0), position);
    }
    boolean areStrings = arguments.stream().allMatch(String.class::isInstance);
    if (areStrings && arguments.size() == 1) {
      return call(text, name, (String) arguments.get(0), position);
    }
    if (areStrings && arguments.size() == 2 && name.equals("replace")) {
      return replace(text, (String) arguments.get(0), (String) arguments.get(1), position);
    }
    throw MethodCalls.noSuchMethod(text, name, arguments.size(), position);
  }

  private static Object call(String text, String name, SourcePosition position) {
    return switch (name) {
      case "upper" -> text.toUpperCase(Locale.ROOT);
      case "lower" -> text.toLowerCase(Locale.ROOT);
      case "strip" -> text.strip();
      case "split" -> splitAtWhitespace(text);
      default -> throw MethodCalls.noSuchMethod(text, name, 0, position);
    };
  }

  private static Object call(String text, String name, String argument, SourcePosition position) {
    return switch (name) {
      case "startswith" -> text.startsWith(argument);
      case "endswith" -> text.endsWith(argument);
      case "count" -> countOccurrences(text, argument);
      case "find" -> (long) text.indexOf(argument);
      case "split" -> split(text, argument, position);
      default -> throw MethodCalls.noSuchMethod(text, name, 1, position);
    };
  }

  private static List<Object> splitAtWhitespace(String text) {
    if (text.isBlank()) {
      return new ArrayList<>();
    }
    return new ArrayList<>(Arrays.asList(text.strip().split("\\s+")));
  }

  private static List<Object> split(String text, String separator, SourcePosition position) {
    if (separator.isEmpty()) {
      throw new ScriptException(position, "split() does not accept an empty separator");
    }
    return new ArrayList<>(Arrays.asList(text.split(Pattern.quote(separator), -1)));
  }

  private static long countOccurrences(String text, String substring) {
    if (substring.isEmpty()) {
      return text.length() + 1L;
    }
    return text.split(Pattern.quote(substring), -1).length - 1L;
  }

  private String replace(
      String text, String substring, String replacement, SourcePosition position) {
    long added = countOccurrences(text, substring) * replacement.length();
    budget.reserve(text.length() + added, position);
    return text.replace(substring, replacement);
  }

  private String join(String separator, Object parts, SourcePosition position) {
    StringBuilder joined = new StringBuilder();
    for (Object element : values.elements(parts, position)) {
      if (!(element instanceof String part)) {
        throw new ScriptException(
            position, "join() takes strings, not a value of type " + Values.typeName(element));
      }
      budget.reserve((long) part.length() + separator.length(), position);
      joined.append(joined.length() == 0 ? "" : separator).append(part);
    }
    return joined.toString();
  }
}
