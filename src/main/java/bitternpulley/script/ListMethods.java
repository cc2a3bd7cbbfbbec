package bitternpulley.script;

import java.util.List;

/** The methods of lists. */
final class ListMethods {
  private final EvaluationBudget budget;
  private final Values values;
  private final Comparisons comparisons;

  ListMethods(EvaluationBudget budget, Values values, Comparisons comparisons) {
    this.budget = budget;
    this.values = values;
    this.comparisons = comparisons;
  }

  Object call(List<Object> list, String name, List<Object> arguments, SourcePosition position) {
    if (arguments.isEmpty() && name.equals("pop")) {
      return pop(list, position);
    }
    if (arguments.size() != 1) {
      throw MethodCalls.noSuchMethod(list, name, arguments.size(), position);
    }
    Object argument = arguments.get(0);
    return switch (name) {
      case "append" -> append(list, argument, position);
      case "extend" -> extend(list, argument, position);
      case "index" -> index(list, argument, position);
      default -> throw MethodCalls.noSuchMethod(list, name, 1, position);
    };
  }

  private None append(List<Object> list, Object element, SourcePosition position) {
    budget.reserve(1, position);
    list.add(element);
    return None.NONE;
  }

  private None extend(List<Object> list, Object added, SourcePosition position) {
    list.addAll(values.elements(added, position));
    return None.NONE;
  }

  private long index(List<Object> list, Object element, SourcePosition position) {
    for (int index = 0; index < list.size(); index++) {
      if (comparisons.areEqual(list.get(index), element, position)) {
        return index;
      }
    }
    throw new ScriptException(position, "the list has no such element");
  }

  private static Object pop(List<Object> list, SourcePosition position) {
    if (list.isEmpty()) {
      throw new ScriptException(position, "the list is empty");
    }
    return list.remove(list.size() - 1);
  }
}
