package arrowford.wirehost;

import com.fasterxml.jackson.databind.JsonNode;

/** Typed access to the fields of one wire object. */
final class Fields {
  private Fields() {}

  static JsonNode need(JsonNode node, String key) {
    JsonNode value = node.get(key);
    if (value == null || value.isNull()) {
      throw new WireException("missing field '" + key + "'");
    }
    return value;
  }

  static String text(JsonNode node, String key) {
    JsonNode value = need(node, key);
    if (!value.isTextual()) {
      throw new WireException("field '" + key + "' is not text");
    }
    return value.textValue();
  }

  static double number(JsonNode node, String key) {
    JsonNode value = need(node, key);
    if (!value.isNumber()) {
      throw new WireException("field '" + key + "' is not a number");
    }
    return value.doubleValue();
  }

  static long integer(JsonNode node, String key) {
    return (long) number(node, key);
  }

  static double number(JsonNode node, String key, double absent) {
    JsonNode value = node.get(key);
    return value == null || value.isNull() ? absent : number(node, key);
  }

  static boolean flag(JsonNode node, String key) {
    JsonNode value = node.get(key);
    return value != null && value.asBoolean(false);
  }

  /** A time or figure that cannot be below 0. */
  static double figure(JsonNode node, String key, double absent) {
    double value = number(node, key, absent);
    if (value < 0) {
      throw new WireException("settings: '" + key + "' is negative");
    }
    return value;
  }
}
