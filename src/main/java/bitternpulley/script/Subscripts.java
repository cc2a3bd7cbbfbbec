package bitternpulley.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Subscripts and slices of strings, lists and dicts: {@code a[i]}, {@code a[i:j]} and assignments
 * to {@code a[i]}.
 */
final class Subscripts {
  private final EvaluationBudget budget;
  private final ValueFormatter valueFormatter;

  Subscripts(EvaluationBudget budget, ValueFormatter valueFormatter) {
    this.budget = budget;
    this.valueFormatter = valueFormatter;
  }

  Object element(Object container, Object subscript, SourcePosition position) {
    if (container instanceof Map) {
      return dictValue(Values.asDict(container), subscript, position);
    }
    if (subscript instanceof Long index && container instanceof String text) {
      int start = Values.resolveIndex(index, text.length(), position);
      return text.substring(start, start + 1);
    }
    if (subscript instanceof Long index && container instanceof List) {
      List<Object> list = Values.asList(container);
      return list.get(Values.resolveIndex(index, list.size(), position));
    }
    throw new ScriptException(
        position,
        "a value of type "
            + Values.typeName(container)
            + " cannot be indexed by "
            + Values.typeName(subscript));
  }

  private Object dictValue(Map<Object, Object> dict, Object subscript, SourcePosition position) {
    Object value = dict.get(Values.toKey(subscript, position));
    if (value == null) {
      throw new ScriptException(
          position, "there is no key " + valueFormatter.repr(subscript, position));
    }
    return value;
  }

  /** The length of a string or list. */
  static int sequenceLength(Object sequence, SourcePosition position) {
    if (sequence instanceof String text) {
      return text.length();
    }
    if (sequence instanceof List) {
      return Values.asList(sequence).size();
    }
    throw new ScriptException(
        position, "a value of type " + Values.typeName(sequence) + " cannot be sliced");
  }

  /** The slice of a string or list from {@code start} inclusive to {@code end} exclusive. */
  Object slice(Object sequence, int start, int end, SourcePosition position) {
    budget.reserve(end - start, position);
    if (sequence instanceof String text) {
      return text.substring(start, end);
    }
    return Values.newSequenceLike(
        sequence, new ArrayList<>(Values.asList(sequence).subList(start, end)));
  }

  void assign(Object container, Object subscript, Object value, SourcePosition position) {
    if (container instanceof Map) {
      budget.reserve(1, position);
      Values.asDict(container).put(Values.toKey(subscript, position), value);
    } else if (Values.isMutableList(container) && subscript instanceof Long index) {
      List<Object> list = Values.asList(container);
      list.set(Values.resolveIndex(index, list.size(), position), value);
    } else {
      throw new ScriptException(
          position,
          "cannot assign to this element of a value of type " + Values.typeName(container));
    }
  }
}
