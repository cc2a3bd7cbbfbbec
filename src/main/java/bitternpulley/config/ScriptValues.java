package bitternpulley.config;

import bitternpulley.script.None;
import bitternpulley.script.ScriptException;
import bitternpulley.script.SourcePosition;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/** Converts values of the script language to JSON. */
final class ScriptValues {
  /** Maximum nesting of lists and dicts in one argument. */
  private static final int MAX_DEPTH = 8;

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private ScriptValues() {}

  /** Converts the argument at a position of the script to JSON. */
  static JsonNode toJson(Object value, SourcePosition position) {
    return toJson(value, position, 0);
  }

  private static JsonNode toJson(Object value, SourcePosition position, int depth) {
    if (depth > MAX_DEPTH) {
      throw new ScriptException(
          position, "the value is nested more than " + MAX_DEPTH + " levels deep");
    }
    if (value instanceof List<?> list) {
      return array(list, position, depth);
    }
    if (value instanceof Map<?, ?> dict) {
      return object(dict, position, depth);
    }
    return scalar(value, position);
  }

  private static JsonNode scalar(Object value, SourcePosition position) {
    if (value instanceof String text) {
      return NODES.textNode(text);
    }
    if (value instanceof Boolean flag) {
      return NODES.booleanNode(flag);
    }
    if (value instanceof Long integer) {
      return integer(integer);
    }
    if (value instanceof Double number) {
      return NODES.numberNode(number);
    }
    if (value == None.NONE) {
      return NODES.nullNode();
    }
    throw new ScriptException(position, "a function cannot be the value of a setting");
  }

  private static JsonNode integer(long value) {
    return value == (int) value ? NODES.numberNode((int) value) : NODES.numberNode(value);
  }

  private static ArrayNode array(List<?> list, SourcePosition position, int depth) {
    ArrayNode array = NODES.arrayNode();
    list.forEach(element -> array.add(toJson(element, position, depth + 1)));
    return array;
  }

  private static ObjectNode object(Map<?, ?> dict, SourcePosition position, int depth) {
    ObjectNode object = NODES.objectNode();
    dict.forEach(
        (key, value) -> {
          if (!(key instanceof String name)) {
            throw new ScriptException(position, "a dict key must be a string");
          }
          object.set(name, toJson(value, position, depth + 1));
        });
    return object;
  }
}
