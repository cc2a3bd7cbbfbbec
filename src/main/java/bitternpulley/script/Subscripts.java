package bitternpulley.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Elements and ranges of texts, lists and dicts: {@code a[i]}, {@code a[i:j]} and assignments. */
final class Subscripts {
  private final EvaluationBudget budget;
  private final ValueFormatter valueFormatter;

  Subscripts(EvaluationBudget budget, ValueFormatter valueFormatter) {
    this.budget = budget;
    this.valueFormatter = valueFormatter;
  }

  Object element(Object container, Object subscript, SourcePosition position) {
    if (container instanceof Map) {
      return entry(Values.dict(container), subscript, position);
    }
    if (subscript instanceof Long given && container instanceof String text) {
      int index = Values.index(given, text.length(), position);
      return text.substring(index, index + 1);
    }
    if (subscript instanceof Long given && container instanceof List) {
      List<Object> list = Values.list(container);
      return list.get(Values.index(given, list.size(), position));
    }
    throw new ScriptException(
        position,
        "a " + Values.typeName(container) + " has no elements by " + Values.typeName(subscript));
  }

  private Object entry(Map<Object, Object> dict, Object subscript, SourcePosition position) {
    Object value = dict.get(Values.key(subscript, position));
    if (value == null) {
      throw new ScriptException(
          position, "there is no key " + valueFormatter.literal(subscript, position));
    }
    return value;
  }

  /** The length of a text or list. */
  static int length(Object sequence, SourcePosition position) {
    if (sequence instanceof String text) {
      return text.length();
    }
    if (sequence instanceof List) {
      return Values.list(sequence).size();
    }
    throw new ScriptException(position, "a " + Values.typeName(sequence) + " cannot be cut");
  }

  /** The part of a text or list from {@code start} to before {@code end}. */
  Object range(Object sequence, int start, int end, SourcePosition position) {
    budget.reserve(end - start, position);
    if (sequence instanceof String text) {
      return text.substring(start, end);
    }
    return Values.listLike(sequence, new ArrayList<>(Values.list(sequence).subList(start, end)));
  }

  void assign(Object container, Object subscript, Object value, SourcePosition position) {
    if (container instanceof Map) {
      budget.reserve(1, position);
      Values.dict(container).put(Values.key(subscript, position), value);
    } else if (Values.isMutableList(container) && subscript instanceof Long given) {
      List<Object> list = Values.list(container);
      list.set(Values.index(given, list.size(), position), value);
    } else {
      throw new ScriptException(
          position, "a " + Values.typeName(container) + " cannot be changed so");
    }
  }
}
