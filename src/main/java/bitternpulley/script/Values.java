package bitternpulley.script;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Operations on the values of a script: types, iteration, dict keys and indices. A value is a
 * {@code Long}, {@code Double}, {@code Boolean}, {@code String}, {@code List}, {@link Tuple},
 * {@code Map}, {@link ScriptFunction}, {@link None} or an object of the host.
 */
final class Values {
  /** Below this magnitude, an integral {@code double} converts exactly to a {@code long}. */
  private static final double MAX_INTEGRAL_KEY = 1e15;

  private final EvaluationBudget budget;

  Values(EvaluationBudget budget) {
    this.budget = budget;
  }

  /** The name that the language gives to the type of a value. */
  static String typeName(Object value) {
    if (value instanceof Long) {
      return "int";
    }
    if (value instanceof Double) {
      return "float";
    }
    if (value instanceof Boolean) {
      return "bool";
    }
    if (value instanceof String) {
      return "string";
    }
    if (value instanceof ScriptFunction) {
      return "function";
    }
    if (value instanceof None) {
      return "NoneType";
    }
    return collectionTypeName(value);
  }

  private static String collectionTypeName(Object value) {
    if (value instanceof Map) {
      return "dict";
    }
    if (value instanceof Tuple) {
      return "tuple";
    }
    return value instanceof List ? "list" : "value";
  }

  /** Whether the value is true as a condition: not {@code False}, zero, empty or {@code None}. */
  static boolean isTruthy(Object value) {
    if (value instanceof Boolean flag) {
      return flag;
    }
    if (value instanceof Long integer) {
      return integer != 0;
    }
    if (value instanceof Double number) {
      return number != 0;
    }
    if (value instanceof String text) {
      return !text.isEmpty();
    }
    if (value instanceof Collection<?> elements) {
      return !elements.isEmpty();
    }
    return value instanceof Map<?, ?> dict ? !dict.isEmpty() : value != None.NONE;
  }

  static boolean isMutableList(Object value) {
    return value instanceof List && !(value instanceof Tuple);
  }

  @SuppressWarnings("unchecked") // Lists of a script have elements of any type.
  static List<Object> asList(Object value) {
    return (List<Object>) value;
  }

  @SuppressWarnings("unchecked") // Dicts of a script have keys and values of any type.
  static Map<Object, Object> asDict(Object value) {
    return (Map<Object, Object>) value;
  }

  /** The elements as a tuple if the original is a tuple, otherwise as a list. */
  static Object newSequenceLike(Object original, List<Object> elements) {
    return original instanceof Tuple ? new Tuple(elements) : elements;
  }

  /** A copy of the elements that iteration over the value yields; those of a dict are its keys. */
  List<Object> elements(Object value, SourcePosition position) {
    if (value instanceof List) {
      budget.reserve(asList(value).size(), position);
      return new ArrayList<>(asList(value));
    }
    if (value instanceof Map) {
      budget.reserve(asDict(value).size(), position);
      return new ArrayList<>(asDict(value).keySet());
    }
    throw new ScriptException(position, "a value of type " + typeName(value) + " is not iterable");
  }

  /** The elements of a value, which must be as many as the variables they are assigned to. */
  List<Object> unpack(Object value, int variableCount, SourcePosition position) {
    List<Object> elements = elements(value, position);
    if (elements.size() != variableCount) {
      throw new ScriptException(
          position,
          "cannot unpack " + elements.size() + " values into " + variableCount + " variables");
    }
    return elements;
  }

  /** Converts a value to a dict key; 1 and 1.0 are the same key. */
  static Object toKey(Object value, SourcePosition position) {
    if (!isKey(value)) {
      throw new ScriptException(
          position, "a value of type " + typeName(value) + " cannot be a dict key");
    }
    if (value instanceof Double number
        && number == Math.rint(number)
        && Math.abs(number) < MAX_INTEGRAL_KEY) {
      return number.longValue();
    }
    return value;
  }

  private static boolean isKey(Object value) {
    if (value instanceof Tuple tuple) {
      return tuple.stream().noneMatch(Values::isMutableList);
    }
    return value instanceof String
        || value instanceof Long
        || value instanceof Boolean
        || value instanceof Double
        || value instanceof None;
  }

  /**
   * Converts an index, which counts from the end if it is negative, to one from the start.
   *
   * @throws ScriptException if the index is out of range
   */
  static int resolveIndex(long index, int size, SourcePosition position) {
    long indexFromStart = index < 0 ? index + size : index;
    if (indexFromStart < 0 || indexFromStart >= size) {
      throw new ScriptException(
          position, "index " + index + " is out of range, the length is " + size);
    }
    return (int) indexFromStart;
  }
}
