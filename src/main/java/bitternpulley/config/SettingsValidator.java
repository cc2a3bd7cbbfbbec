package bitternpulley.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.List;

/**
 * Rejects start settings that contradict each other or set a limit to zero. With such settings, an
 * aggregator could not serve requests, or would use another aggregator's share of the fleet's
 * budgets.
 */
final class SettingsValidator {
  private static final String SECTION = "settings";
  private static final List<String> POSITIVE_LIMITS =
      List.of("maxAttempts", "maxOpen", "connectTimeout", "streamsPerConn", "keepalive");

  private SettingsValidator() {}

  static void validate(JsonNode settings, int zones) {
    double instances = atLeastOne(settings, "instances");
    checkBelow(settings, "selfIndex", instances, "'instances'");
    checkBelow(settings, "zone", Math.max(1, zones), "the number of 'failureDomains'");
    validateLayout(settings.path("domain"));
    POSITIVE_LIMITS.forEach(limit -> atLeastOne(settings.path("policyLimits"), limit));
    JsonNode costs = settings.path("costs");
    Iterator<String> names = costs.fieldNames();
    while (names.hasNext()) {
      nonNegative(costs, names.next(), 0);
    }
  }

  private static void validateLayout(JsonNode layout) {
    atLeastOne(layout, "shards");
    double cells = atLeastOne(layout, "cells");
    double width = atLeastOne(layout, "width");
    if (width > cells) {
      throw ConfigurationException.ofKey(
          "width",
          "settings: 'width' is " + width + ", but must not exceed 'cells', which is " + cells);
    }
  }

  private static double atLeastOne(JsonNode section, String key) {
    double value = nonNegative(section, key, 1);
    if (!(value >= 1)) {
      throw ConfigurationException.ofKey(key, "settings: '" + key + "' is below 1");
    }
    return value;
  }

  private static void checkBelow(JsonNode settings, String key, double bound, String boundName) {
    double value = nonNegative(settings, key, 0);
    if (!(value < bound)) {
      throw ConfigurationException.ofKey(
          key,
          "settings: '"
              + key
              + "' is "
              + value
              + ", but must be below "
              + boundName
              + ", which is "
              + bound);
    }
  }

  private static double nonNegative(JsonNode section, String key, double defaultValue) {
    return Sections.inSection(SECTION, () -> Fields.nonNegative(section, key, defaultValue));
  }
}
