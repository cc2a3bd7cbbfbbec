package bitternpulley.script;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/** The functions that create lists and dicts or select from them. */
final class SequenceFunctions {
  /**
   * Elements that the budget counts for each tuple of {@code enumerate()}: the tuple and its two
   * elements.
   */
  private static final int INDEXED_ELEMENT_SIZE = 3;

  private final EvaluationBudget budget;
  private final Values values;
  private final Comparisons comparisons;

  SequenceFunctions(EvaluationBudget budget, Values values, Comparisons comparisons) {
    this.budget = budget;
    this.values = values;
    this.comparisons = comparisons;
  }

  /** The integers of {@code range([start,] end [, step])}. */
  List<Object> range(List<Object> arguments, SourcePosition position) {
    if (arguments.isEmpty()
        || arguments.size() > 3
        || !arguments.stream().allMatch(Long.class::isInstance)) {
      throw new ScriptException(position, "range() takes one to three whole numbers");
    }
    boolean hasStart = arguments.size() > 1;
    long start = hasStart ? (Long) arguments.get(0) : 0;
    long end = (Long) arguments.get(hasStart ? 1 : 0);
    long step = arguments.size() == 3 ? (Long) arguments.get(2) : 1;
    if (step == 0) {
      throw new ScriptException(position, "the step of range() cannot be 0");
    }
    return range(start, end, step, position);
  }

  private List<Object> range(long start, long end, long step, SourcePosition position) {
    List<Object> integers = new ArrayList<>();
    long next = start;
    while (step > 0 ? next < end : next > end) {
      budget.reserve(1, position);
      integers.add(next);
      if (overflows(next, step)) {
        break;
      }
      next += step;
    }
    return integers;
  }

  private static boolean overflows(long value, long step) {
    return step > 0 ? value > Long.MAX_VALUE - step : value < Long.MIN_VALUE - step;
  }

  Object min(List<Object> arguments, SourcePosition position) {
    return extreme("min", arguments, order -> order < 0, position);
  }

  Object max(List<Object> arguments, SourcePosition position) {
    return extreme("max", arguments, order -> order > 0, position);
  }

  private Object extreme(
      String name, List<Object> arguments, IntPredicate isPreferred, SourcePosition position) {
    List<Object> candidates =
        arguments.size() == 1 ? values.elements(arguments.get(0), position) : arguments;
    if (candidates.isEmpty()) {
      throw new ScriptException(position, name + "() does not accept an empty sequence");
    }
    Object extreme = candidates.get(0);
    for (Object candidate : candidates) {
      if (isPreferred.test(comparisons.order(candidate, extreme, position))) {
        extreme = candidate;
      }
    }
    return extreme;
  }

  /** Tuples of the elements at the same index, as many as the shortest argument has elements. */
  List<Object> zip(List<Object> arguments, SourcePosition position) {
    List<List<Object>> columns =
        arguments.stream().map(argument -> values.elements(argument, position)).toList();
    int rowCount = columns.stream().mapToInt(List::size).min().orElse(0);
    List<Object> rows = new ArrayList<>();
    for (int index = 0; index < rowCount; index++) {
      int row = index;
      budget.reserve(columns.size() + 1L, position);
      rows.add(new Tuple(columns.stream().map(column -> column.get(row)).toList()));
    }
    return rows;
  }

  /** A copy of a dict, or a dict of the key-value pairs of a sequence. */
  Map<Object, Object> dict(Object source, SourcePosition position) {
    if (source instanceof Map) {
      budget.reserve(Values.asDict(source).size(), position);
      return new LinkedHashMap<>(Values.asDict(source));
    }
    Map<Object, Object> dict = new LinkedHashMap<>();
    for (Object element : values.elements(source, position)) {
      List<Object> pair = values.elements(element, position);
      if (pair.size() != 2) {
        throw new ScriptException(position, "dict() takes a dict or a sequence of pairs");
      }
      dict.put(Values.toKey(pair.get(0), position), pair.get(1));
    }
    return dict;
  }

  List<Object> sorted(Object source, SourcePosition position) {
    List<Object> elements = values.elements(source, position);
    elements.sort(ascending(position));
    return elements;
  }

  List<Object> sortedDescending(Object source, SourcePosition position) {
    List<Object> elements = values.elements(source, position);
    elements.sort(ascending(position).reversed());
    return elements;
  }

  private Comparator<Object> ascending(SourcePosition position) {
    return (left, right) -> comparisons.order(left, right, position);
  }

  List<Object> reversed(Object source, SourcePosition position) {
    List<Object> elements = values.elements(source, position);
    Collections.reverse(elements);
    return elements;
  }

  /** Tuples of an index and its element. */
  List<Object> enumerate(Object source, SourcePosition position) {
    List<Object> indexed = new ArrayList<>();
    for (Object element : values.elements(source, position)) {
      budget.reserve(INDEXED_ELEMENT_SIZE, position);
      indexed.add(new Tuple(List.of((long) indexed.size(), element)));
    }
    return indexed;
  }
}
