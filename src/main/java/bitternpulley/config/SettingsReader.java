package bitternpulley.config;

import static bitternpulley.config.Fields.figure;
import static bitternpulley.config.Fields.flag;

import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;

/** Reads the start settings; keys it does not know are passed over. */
public final class SettingsReader {
  private SettingsReader() {}

  public static Settings read(JsonNode in) {
    JsonNode classes = in.get("requestClasses");
    if (classes == null || !classes.isArray() || classes.isEmpty()) {
      throw new ConfigurationException("settings: 'requestClasses' is missing or empty");
    }
    checkUnused(sub(in, "rules"), List.of("answerSlack", "stopSendingWithin", "mustAskIn"));
    checkUnused(sub(in, "costs"), List.of("waste", "lateFail", "connection", "probe"));
    JsonNode domain = sub(in, "domain");
    List<Settings.QueryClass> read = new ArrayList<>();
    for (int i = 0; i < classes.size(); i++) {
      read.add(queryClass(classes.get(i), domain, i));
    }
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (JsonNode t : sub(in, "tenants")) {
      tenants.add(new Settings.Tenant(t.path("name").asText(""), figure(t, "portion", 1)));
      checkUnused(t, List.of("quotaRps"));
    }
    return new Settings(
        (int) figure(in, "selfIndex", 0),
        (int) figure(in, "instances", 1),
        (int) figure(in, "zone", 0),
        figure(in, "tick", 1),
        in.path("discovery").asText("").equals("on_request"),
        List.copyOf(read),
        List.copyOf(tenants),
        figure(in, "overShareWorth", 1),
        in.path("worthBy").asText("").equals("work"),
        layout(domain),
        limits(sub(in, "policyLimits")),
        rules(sub(in, "rules")),
        prices(sub(in, "costs")));
  }

  /** Figures that nothing here uses are checked all the same: a negative one is a mistake. */
  private static void checkUnused(JsonNode in, List<String> keys) {
    keys.forEach(key -> figure(in, key, 0));
  }

  private static JsonNode sub(JsonNode in, String key) {
    JsonNode value = in.get(key);
    return value == null || value.isNull() ? JsonNodeFactory.instance.objectNode() : value;
  }

  private static Settings.QueryClass queryClass(JsonNode c, JsonNode domain, int i) {
    if (!c.has("deadline")) {
      throw new ConfigurationException("settings: 'deadline' of class " + i + " is missing");
    }
    double deadline = figure(c, "deadline", 0);
    return new Settings.QueryClass(
        c.path("name").asText(""),
        figure(c, "worth", 1),
        figure(c, "aim", deadline),
        figure(c, "aimStretch", 0),
        deadline,
        figure(c, "lateWorth", 0),
        effect(c.path("effect").asText("side_effect")),
        figure(c, "dedupWindow", 0),
        flag(c, "stream"),
        at(domain, "minShare", i, 1),
        at(domain, "wholeAt", i, 1),
        at(domain, "classPartial", i, 1),
        (int) at(domain, "followUp", i, 0));
  }

  private static double at(JsonNode domain, String key, int i, double absent) {
    JsonNode value = domain.path(key).path(i);
    double read = value.isNumber() ? value.doubleValue() : absent;
    if (read < 0) {
      throw new ConfigurationException("settings: '" + key + "' is negative");
    }
    return read;
  }

  private static Settings.Idempotency effect(String word) {
    return switch (word) {
      case "pure" -> Settings.Idempotency.IDEMPOTENT;
      case "token" -> Settings.Idempotency.KEYED;
      default -> Settings.Idempotency.NON_IDEMPOTENT;
    };
  }

  private static Settings.Layout layout(JsonNode d) {
    int cells = (int) figure(d, "cells", 1);
    return new Settings.Layout(
        (int) figure(d, "shards", 1),
        Math.max(1, cells),
        (int) figure(d, "width", 1),
        Math.max(1, (int) figure(d, "bundleMax", 1)),
        figure(d, "call", 0));
  }

  private static Settings.Limits limits(JsonNode l) {
    return new Settings.Limits(
        (int) figure(l, "maxAttempts", 1),
        (int) figure(l, "maxOpen", Integer.MAX_VALUE),
        flag(l, "mayCancel"),
        flag(l, "secondCopies"),
        flag(l, "retryAfter"),
        figure(l, "maxRetryAfter", 0),
        figure(l, "connectTimeout", 0));
  }

  private static Settings.Rules rules(JsonNode r) {
    return new Settings.Rules(
        figure(r, "coldFrom", 1),
        figure(r, "cold", 0),
        figure(r, "tipMultiple", 0),
        figure(r, "fall", 0),
        r.has("lookBack") || r.has("extraFloor") || r.has("extraShare"),
        figure(r, "extraFloor", 0),
        figure(r, "extraShare", 0),
        figure(r, "lookBack", 0));
  }

  private static Settings.Costs prices(JsonNode c) {
    return new Settings.Costs(figure(c, "crossZone", 0), figure(c, "handshake", 0));
  }
}
