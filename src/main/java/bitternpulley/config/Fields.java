package bitternpulley.config;

import com.fasterxml.jackson.databind.JsonNode;

/** Typed access to the fields of one wire object. */
public final class Fields {
  private Fields() {}

  public static JsonNode need(JsonNode node, String key) {
    JsonNode value = node.get(key);
    if (value == null || value.isNull()) {
      throw new ConfigurationException("missing field '" + key + "'");
    }
    return value;
  }

  public static String text(JsonNode node, String key) {
    JsonNode value = need(node, key);
    if (!value.isTextual()) {
      throw new ConfigurationException("field '" + key + "' is not text");
    }
    return value.textValue();
  }

  public static double number(JsonNode node, String key) {
    JsonNode value = need(node, key);
    if (!value.isNumber()) {
      throw new ConfigurationException("field '" + key + "' is not a number");
    }
    return value.doubleValue();
  }

  public static long integer(JsonNode node, String key) {
    return (long) number(node, key);
  }

  public static double number(JsonNode node, String key, double absent) {
    JsonNode value = node.get(key);
    return value == null || value.isNull() ? absent : number(node, key);
  }

  public static boolean flag(JsonNode node, String key) {
    JsonNode value = node.get(key);
    return value != null && value.asBoolean(false);
  }

  /** A time or figure that cannot be below 0. */
  public static double figure(JsonNode node, String key, double absent) {
    double value = number(node, key, absent);
    if (value < 0) {
      throw new ConfigurationException("settings: '" + key + "' is negative");
    }
    return value;
  }
}
