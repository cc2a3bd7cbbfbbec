package bitternpulley.script;

import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The comparison and membership operators. */
final class Comparisons {
  private final EvaluationBudget budget;

  Comparisons(EvaluationBudget budget) {
    this.budget = budget;
  }

  /** The result of a comparison operator: {@code == != < > <= >=} or {@code in}. */
  boolean compare(String operator, Object left, Object right, SourcePosition position) {
    return switch (operator) {
      case "==" -> areEqual(left, right, position);
      case "!=" -> !areEqual(left, right, position);
      case "in" -> contains(right, left, position);
      case "<" -> order(left, right, position) < 0;
      case ">" -> order(left, right, position) > 0;
      case "<=" -> order(left, right, position) <= 0;
      default -> order(left, right, position) >= 0;
    };
  }

  /**
   * Whether a string contains a substring, a dict contains a key, or a list or tuple contains an
   * element.
   */
  boolean contains(Object container, Object value, SourcePosition position) {
    if (container instanceof String text && value instanceof String substring) {
      return text.contains(substring);
    }
    if (container instanceof Map) {
      return Values.asDict(container).containsKey(Values.toKey(value, position));
    }
    if (container instanceof List) {
      return Values.asList(container).stream()
          .anyMatch(element -> areEqual(element, value, position));
    }
    throw new ScriptException(
        position, "'in' is not supported for a container of type " + Values.typeName(container));
  }

  boolean areEqual(Object left, Object right, SourcePosition position) {
    return areEqual(left, right, 0, position);
  }

  private boolean areEqual(Object left, Object right, int depth, SourcePosition position) {
    budget.recordNestedStep(depth, position);
    if (left instanceof Long && right instanceof Long) {
      return left.equals(right);
    }
    if (left instanceof Number first && right instanceof Number second) {
      return first.doubleValue() == second.doubleValue();
    }
    if (left instanceof List && right instanceof List) {
      return areListsEqual(left, right, depth, position);
    }
    if (left instanceof Map && right instanceof Map) {
      return areDictsEqual(Values.asDict(left), Values.asDict(right), depth, position);
    }
    return left.equals(right);
  }

  private boolean areListsEqual(Object left, Object right, int depth, SourcePosition position) {
    Iterator<Object> first = Values.asList(left).iterator();
    Iterator<Object> second = Values.asList(right).iterator();
    while (first.hasNext() && second.hasNext()) {
      if (!areEqual(first.next(), second.next(), depth + 1, position)) {
        return false;
      }
    }
    return !first.hasNext()
        && !second.hasNext()
        && Values.typeName(left).equals(Values.typeName(right));
  }

  private boolean areDictsEqual(
      Map<Object, Object> left, Map<Object, Object> right, int depth, SourcePosition position) {
    if (left.size() != right.size()) {
      return false;
    }
    for (Map.Entry<Object, Object> entry : left.entrySet()) {
      if (!right.containsKey(entry.getKey())
          || !areEqual(entry.getValue(), right.get(entry.getKey()), depth + 1, position)) {
        return false;
      }
    }
    return true;
  }

  /** Negative if the left value is less than the right one, zero if equal, positive if greater. */
  int order(Object left, Object right, SourcePosition position) {
    return order(left, right, 0, position);
  }

  private int order(Object left, Object right, int depth, SourcePosition position) {
    budget.recordNestedStep(depth, position);
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
      return orderLists(Values.asList(left), Values.asList(right), depth, position);
    }
    throw new ScriptException(
        position,
        "cannot order values of type " + Values.typeName(left) + " and " + Values.typeName(right));
  }

  private int orderLists(
      List<Object> left, List<Object> right, int depth, SourcePosition position) {
    for (int index = 0; index < Math.min(left.size(), right.size()); index++) {
      int order = order(left.get(index), right.get(index), depth + 1, position);
      if (order != 0) {
        return order;
      }
    }
    return Integer.compare(left.size(), right.size());
  }
}
