package bitternpulley.config;

import com.fasterxml.jackson.databind.JsonNode;

/** Typed access to the fields of a JSON object. A null field counts as missing. */
public final class Fields {
  private Fields() {}

  /** The value of a required field. */
  public static JsonNode required(JsonNode node, String key) {
    if (isMissing(node, key)) {
      throw ConfigurationException.ofKey(key, "missing field '" + key + "'");
    }
    return node.get(key);
  }

  /** The text of a required field. */
  public static String text(JsonNode node, String key) {
    JsonNode value = required(node, key);
    if (!value.isTextual()) {
      throw ConfigurationException.ofKey(key, "field '" + key + "' is not text");
    }
    return value.textValue();
  }

  /** The number of a required field. */
  public static double number(JsonNode node, String key) {
    JsonNode value = required(node, key);
    if (!value.isNumber()) {
      throw ConfigurationException.ofKey(key, "field '" + key + "' is not a number");
    }
    return value.doubleValue();
  }

  /** The number of a required field, truncated to an integer. */
  public static long integer(JsonNode node, String key) {
    return (long) number(node, key);
  }

  /** The number of a field, or a default if it is missing. */
  public static double number(JsonNode node, String key, double defaultValue) {
    return isMissing(node, key) ? defaultValue : number(node, key);
  }

  /** Whether a field is true; false if it is missing. */
  public static boolean flag(JsonNode node, String key) {
    return !isMissing(node, key) && node.get(key).asBoolean(false);
  }

  /** The number of a field that must not be negative, or a default if it is missing. */
  static double nonNegative(JsonNode node, String key, double defaultValue) {
    double value = number(node, key, defaultValue);
    if (value < 0) {
      throw ConfigurationException.ofKey(key, "settings: '" + key + "' is negative");
    }
    return value;
  }

  private static boolean isMissing(JsonNode node, String key) {
    JsonNode value = node.get(key);
    return value == null || value.isNull();
  }
}
