package bitternpulley.config;

import static bitternpulley.config.Fields.flag;
import static bitternpulley.config.Fields.nonNegative;

import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the start settings and maps their external names to those of {@link Settings}; unknown keys
 * are ignored.
 */
public final class SettingsReader {
  /** Keys that are not used, but whose values must be valid nevertheless. */
  private static final List<String> UNUSED_RULE_KEYS =
      List.of("answerSlack", "stopSendingWithin", "mustAskIn");

  private static final List<String> UNUSED_COST_KEYS =
      List.of("waste", "lateFail", "connection", "probe");
  private static final List<String> UNUSED_TENANT_KEYS = List.of("quotaRps");

  private SettingsReader() {}

  /**
   * Reads the settings in a JSON object.
   *
   * @throws ConfigurationException that names the faulty key
   */
  public static Settings read(JsonNode settings) {
    JsonNode classes = settings.get("requestClasses");
    if (classes == null || !classes.isArray() || classes.isEmpty()) {
      throw ConfigurationException.ofKey(
          "requestClasses", "settings: 'requestClasses' is missing or empty");
    }
    checkUnused(section(settings, "rules"), UNUSED_RULE_KEYS);
    checkUnused(section(settings, "costs"), UNUSED_COST_KEYS);
    JsonNode domain = section(settings, "domain");
    List<Settings.QueryClass> queryClasses = queryClasses(classes, domain);
    List<Settings.Tenant> tenants = tenants(section(settings, "tenants"));
    return new Settings(
        (int) nonNegative(settings, "selfIndex", 0),
        (int) nonNegative(settings, "instances", 1),
        (int) nonNegative(settings, "zone", 0),
        nonNegative(settings, "tick", 1),
        settings.path("discovery").asText("").equals("on_request"),
        queryClasses,
        tenants,
        nonNegative(settings, "overShareWorth", 1),
        settings.path("worthBy").asText("").equals("work"),
        layout(domain),
        limits(section(settings, "policyLimits")),
        rules(section(settings, "rules")),
        costs(section(settings, "costs")));
  }

  private static void checkUnused(JsonNode section, List<String> keys) {
    keys.forEach(key -> nonNegative(section, key, 0));
  }

  private static JsonNode section(JsonNode settings, String key) {
    JsonNode section = settings.get(key);
    return section == null || section.isNull() ? JsonNodeFactory.instance.objectNode() : section;
  }

  private static List<Settings.QueryClass> queryClasses(JsonNode classes, JsonNode domain) {
    List<Settings.QueryClass> queryClasses = new ArrayList<>();
    for (JsonNode queryClass : classes) {
      queryClasses.add(queryClass(queryClass, domain, queryClasses.size()));
    }
    return List.copyOf(queryClasses);
  }

  private static List<Settings.Tenant> tenants(JsonNode entries) {
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (JsonNode entry : entries) {
      tenants.add(
          new Settings.Tenant(entry.path("name").asText(""), nonNegative(entry, "portion", 1)));
      checkUnused(entry, UNUSED_TENANT_KEYS);
    }
    return List.copyOf(tenants);
  }

  private static Settings.QueryClass queryClass(
      JsonNode queryClass, JsonNode domain, int position) {
    if (!queryClass.has("deadline")) {
      throw ConfigurationException.ofKey(
          "deadline", "settings: 'deadline' of class " + position + " is missing");
    }
    double deadline = nonNegative(queryClass, "deadline", 0);
    return new Settings.QueryClass(
        queryClass.path("name").asText(""),
        nonNegative(queryClass, "worth", 1),
        nonNegative(queryClass, "aim", deadline),
        nonNegative(queryClass, "aimStretch", 0),
        deadline,
        nonNegative(queryClass, "lateWorth", 0),
        idempotency(queryClass.path("effect").asText("side_effect")),
        nonNegative(queryClass, "dedupWindow", 0),
        flag(queryClass, "stream"),
        elementOrDefault(domain, "minShare", position, 1),
        elementOrDefault(domain, "wholeAt", position, 1),
        elementOrDefault(domain, "classPartial", position, 1),
        (int) elementOrDefault(domain, "followUp", position, 0));
  }

  /** The number at a position of a list, or a default if the list has no number there. */
  private static double elementOrDefault(
      JsonNode section, String key, int position, double defaultValue) {
    JsonNode element = section.path(key).path(position);
    double value = element.isNumber() ? element.doubleValue() : defaultValue;
    if (value < 0) {
      throw ConfigurationException.ofKey(key, "settings: '" + key + "' is negative");
    }
    return value;
  }

  private static Settings.Idempotency idempotency(String effect) {
    return switch (effect) {
      case "pure" -> Settings.Idempotency.IDEMPOTENT;
      case "token" -> Settings.Idempotency.KEYED;
      default -> Settings.Idempotency.NON_IDEMPOTENT;
    };
  }

  private static Settings.Layout layout(JsonNode domain) {
    int cells = (int) nonNegative(domain, "cells", 1);
    return new Settings.Layout(
        (int) nonNegative(domain, "shards", 1),
        Math.max(1, cells),
        (int) nonNegative(domain, "width", 1),
        Math.max(1, (int) nonNegative(domain, "bundleMax", 1)),
        nonNegative(domain, "call", 0));
  }

  private static Settings.Limits limits(JsonNode limits) {
    return new Settings.Limits(
        (int) nonNegative(limits, "maxAttempts", 1),
        (int) nonNegative(limits, "maxOpen", Integer.MAX_VALUE),
        flag(limits, "mayCancel"),
        flag(limits, "secondCopies"),
        flag(limits, "retryAfter"),
        nonNegative(limits, "maxRetryAfter", 0),
        nonNegative(limits, "connectTimeout", 0));
  }

  private static Settings.Rules rules(JsonNode rules) {
    return new Settings.Rules(
        nonNegative(rules, "coldFrom", 1),
        nonNegative(rules, "cold", 0),
        nonNegative(rules, "tipMultiple", 0),
        nonNegative(rules, "fall", 0),
        rules.has("lookBack") || rules.has("extraFloor") || rules.has("extraShare"),
        nonNegative(rules, "extraFloor", 0),
        nonNegative(rules, "extraShare", 0),
        nonNegative(rules, "lookBack", 0));
  }

  private static Settings.Costs costs(JsonNode costs) {
    return new Settings.Costs(
        nonNegative(costs, "crossZone", 0), nonNegative(costs, "handshake", 0));
  }
}
