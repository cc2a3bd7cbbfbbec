package bitternpulley.script;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Types, elements and keys of values. A value is a {@code Long}, {@code Double}, {@code Boolean},
 * {@code String}, {@code List}, {@link Tuple}, {@code Map}, {@link ScriptFunction}, {@link None} or
 * an object of the host.
 */
final class Values {
  /** Below this magnitude a whole {@code double} is exactly one {@code long}. */
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

  /** Whether a condition on the value holds: not zero, not empty and not {@code None}. */
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
  static List<Object> list(Object value) {
    return (List<Object>) value;
  }

  @SuppressWarnings("unchecked") // Dicts of a script have keys and values of any type.
  static Map<Object, Object> dict(Object value) {
    return (Map<Object, Object>) value;
  }

  /** A list like this one, which is a tuple when the original is. */
  static Object listLike(Object original, List<Object> elements) {
    return original instanceof Tuple ? new Tuple(elements) : elements;
  }

  /** A copy of the elements that a loop over the value visits. */
  List<Object> elements(Object value, SourcePosition position) {
    if (value instanceof List) {
      budget.reserve(list(value).size(), position);
      return new ArrayList<>(list(value));
    }
    if (value instanceof Map) {
      budget.reserve(dict(value).size(), position);
      return new ArrayList<>(dict(value).keySet());
    }
    throw new ScriptException(position, "a " + typeName(value) + " has no elements to go over");
  }

  /** The elements of a value that has as many as there are names for them. */
  List<Object> unpack(Object value, int nameCount, SourcePosition position) {
    List<Object> elements = elements(value, position);
    if (elements.size() != nameCount) {
      throw new ScriptException(position, elements.size() + " values for " + nameCount + " names");
    }
    return elements;
  }

  /** The value as key of a dict, in which 1 and 1.0 are the same key. */
  static Object key(Object value, SourcePosition position) {
    if (!isKey(value)) {
      throw new ScriptException(position, "a " + typeName(value) + " cannot be a key");
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
   * The index that a possibly negative one stands for.
   *
   * @throws ScriptException where there is no such element
   */
  static int index(long given, int size, SourcePosition position) {
    long index = given < 0 ? given + size : given;
    if (index < 0 || index >= size) {
      throw new ScriptException(position, "there is no element " + given + " of " + size);
    }
    return (int) index;
  }
}
