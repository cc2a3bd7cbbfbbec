package bitternpulley.script;

import java.util.List;
import java.util.Map;

/** Converts values to strings, as the built-in functions {@code str()} and {@code repr()} do. */
final class ValueFormatter {
  private final EvaluationBudget budget;

  ValueFormatter(EvaluationBudget budget) {
    this.budget = budget;
  }

  /** A string unchanged, and any other value as {@link #repr}. */
  String str(Object value, SourcePosition position) {
    return value instanceof String text ? text : repr(value, position);
  }

  /** The value as a literal of the language. */
  String repr(Object value, SourcePosition position) {
    StringBuilder literal = new StringBuilder();
    append(value, literal, 0, position);
    return literal.toString();
  }

  private void append(Object value, StringBuilder literal, int depth, SourcePosition position) {
    budget.recordNestedStep(depth, position);
    int lengthBefore = literal.length();
    if (value instanceof String text) {
      literal.append('"').append(escape(text)).append('"');
    } else if (value instanceof Boolean flag) {
      literal.append(flag ? "True" : "False");
    } else if (value instanceof List) {
      appendList(value, literal, depth, position);
    } else if (value instanceof Map) {
      appendDict(Values.asDict(value), literal, depth, position);
    } else {
      literal.append(value);
    }
    budget.reserve(literal.length() - lengthBefore, position);
  }

  private static String escape(String text) {
    return text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }

  private void appendList(Object value, StringBuilder literal, int depth, SourcePosition position) {
    boolean isTuple = value instanceof Tuple;
    literal.append(isTuple ? '(' : '[');
    String separator = "";
    for (Object element : Values.asList(value)) {
      literal.append(separator);
      append(element, literal, depth + 1, position);
      separator = ", ";
    }
    if (isTuple && Values.asList(value).size() == 1) {
      literal.append(',');
    }
    literal.append(isTuple ? ')' : ']');
  }

  private void appendDict(
      Map<Object, Object> dict, StringBuilder literal, int depth, SourcePosition position) {
    literal.append('{');
    String separator = "";
    for (Map.Entry<Object, Object> entry : dict.entrySet()) {
      literal.append(separator);
      append(entry.getKey(), literal, depth + 1, position);
      literal.append(": ");
      append(entry.getValue(), literal, depth + 1, position);
      separator = ", ";
    }
    literal.append('}');
  }
}
