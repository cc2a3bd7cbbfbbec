package bitternpulley.config;

import bitternpulley.net.HostPort;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the configuration file that LB_CONFIG names; the other variables go before what it says.
 */
public final class ConfigurationReader {
  /**
   * Ms by which a turn of ours comes late, as alarms ring on a grid and a part of a core is shared.
   * Guards against answers that leave in time and arrive a hair after their aim.
   */
  private static final double LEAST_TICK = 4;

  private ConfigurationReader() {}

  /** Reads all; throws ConfigException with the faulty variable or key. */
  public static Configuration read(Map<String, String> environment) {
    JsonNode in = file(environment.get("LB_CONFIG"));
    JsonNode settings = in.path("settings");
    if (!settings.isObject()) {
      throw new ConfigurationException("'settings' is missing");
    }
    List<String> zones = zones(settings);
    checkFleet(settings, zones.size());
    JsonNode known = in.get("known");
    EndpointList list =
        known == null || known.isNull()
            ? new EndpointList(0, true, List.of())
            : named(
                "known",
                () ->
                    EndpointList.read(
                        known,
                        zones,
                        e -> {
                          throw e;
                        }));
    JsonNode limits = settings.path("policyLimits");
    double sockets = named("limits", () -> Fields.figure(in.path("limits"), "sockets", 1024));
    double streams = named("settings", () -> Fields.figure(limits, "streamsPerConn", 100));
    double keepalive = named("settings", () -> Fields.figure(limits, "keepalive", 15_000));
    if (streams < 1) {
      throw new ConfigurationException("settings: 'streamsPerConn' is below 1");
    }
    if (sockets < 64) {
      throw new ConfigurationException("limits: 'sockets' is below 64");
    }
    return new Configuration(
        value(environment, in, "LB_NAME", "name"),
        address(environment, in, "LB_LISTEN", "listen"),
        address(environment, in, "LB_DISCOVERY", "discovery"),
        seed(in),
        (int) sockets,
        list,
        SettingsReader.read(settings).withMinimumTick(LEAST_TICK),
        new Configuration.ConnectionSettings(
            (int) streams,
            keepalive,
            named("settings", () -> Fields.figure(settings.path("costs"), "handshake", 0)) > 0),
        zones,
        new Configuration.Operations(
            admin(environment, in),
            Optional.ofNullable(environment.get("TMPDIR")).filter(f -> !f.isEmpty()).map(Path::of),
            !environment.getOrDefault("LB_PASSED_SOCKET", "").isEmpty()),
        peers(in));
  }

  private static Optional<Configuration.Peers> peers(JsonNode in) {
    if (in.path("peer_listen").asText("").isEmpty()) {
      return Optional.empty();
    }
    List<HostPort> all = new ArrayList<>();
    in.path("peers").forEach(p -> all.add(address("peers", p.asText(""))));
    return Optional.of(
        new Configuration.Peers(
            address("peer_listen", in.path("peer_listen").asText()), List.copyOf(all)));
  }

  private static HostPort address(String key, String text) {
    try {
      return HostPort.parse(text);
    } catch (IllegalArgumentException e) {
      throw new ConfigurationException("'" + key + "': " + e.getMessage());
    }
  }

  /**
   * Reads all again, after the file was replaced. What the file says of discovery now goes before
   * LB_DISCOVERY, which is as old as the program.
   */
  public static Configuration reread(Map<String, String> environment) {
    Map<String, String> left = new HashMap<>(environment);
    left.remove("LB_DISCOVERY");
    return read(left);
  }

  /**
   * Guards against an aggregator that takes its share of the fleet's budgets by a number that is
   * not its own, or that can do nothing at all: what contradicts itself or sets a limit to zero
   * ends the start.
   */
  private static void checkFleet(JsonNode settings, int zones) {
    double instances = atLeastOne(settings, "instances", 1);
    below(settings, "selfIndex", instances, "'instances'");
    below(settings, "zone", Math.max(1, zones), "the number of 'failureDomains'");
    atLeastOne(settings.path("domain"), "shards", 1);
    double cells = atLeastOne(settings.path("domain"), "cells", 1);
    double width = atLeastOne(settings.path("domain"), "width", 1);
    if (width > cells) {
      throw new ConfigurationException(
          "settings: 'width' is " + width + ", over 'cells', which is " + cells);
    }
    for (String limit :
        List.of("maxAttempts", "maxOpen", "connectTimeout", "streamsPerConn", "keepalive")) {
      atLeastOne(settings.path("policyLimits"), limit, 1);
    }
    settings
        .path("costs")
        .fieldNames()
        .forEachRemaining(
            price -> named("settings", () -> Fields.figure(settings.path("costs"), price, 0)));
  }

  private static double atLeastOne(JsonNode in, String key, double absent) {
    double value = named("settings", () -> Fields.figure(in, key, absent));
    if (!(value >= 1)) {
      throw new ConfigurationException("settings: '" + key + "' is below 1");
    }
    return value;
  }

  private static void below(JsonNode settings, String key, double bound, String of) {
    double value = named("settings", () -> Fields.figure(settings, key, 0));
    if (!(value < bound)) {
      throw new ConfigurationException(
          "settings: '" + key + "' is " + value + ", which is not below " + of + ", " + bound);
    }
  }

  /** The names of the zones, by which discovery calls them. */
  public static List<String> zones(JsonNode settings) {
    List<String> zones = new ArrayList<>();
    settings.path("failureDomains").forEach(z -> zones.add(z.asText()));
    return List.copyOf(zones);
  }

  private interface Part<T> {
    T read();
  }

  private static <T> T named(String key, Part<T> part) {
    try {
      return part.read();
    } catch (ConfigurationException e) {
      throw e.getMessage().startsWith(key)
          ? e
          : new ConfigurationException(key + ": " + e.getMessage());
    }
  }

  private static JsonNode file(String path) {
    if (path == null || path.isEmpty()) {
      throw new ConfigurationException("LB_CONFIG is not set");
    }
    try {
      JsonNode in = StrictJson.read(Files.readAllBytes(Path.of(path)));
      if (in == null || !in.isObject()) {
        throw new ConfigurationException("LB_CONFIG: " + path + " holds no JSON object");
      }
      return in;
    } catch (JsonProcessingException e) {
      throw new ConfigurationException(
          "LB_CONFIG: " + path + " is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new ConfigurationException("LB_CONFIG: cannot read " + path);
    }
  }

  private static String value(
      Map<String, String> environment, JsonNode in, String variable, String key) {
    String value = environment.getOrDefault(variable, in.path(key).asText(""));
    if (value.isEmpty()) {
      throw new ConfigurationException("'" + key + "' is missing, and " + variable + " is not set");
    }
    return value;
  }

  private static HostPort address(
      Map<String, String> environment, JsonNode in, String variable, String key) {
    try {
      return HostPort.parse(value(environment, in, variable, key));
    } catch (IllegalArgumentException e) {
      throw new ConfigurationException("'" + key + "' (" + variable + "): " + e.getMessage());
    }
  }

  /** The operators' door, which only some deployments have. */
  private static Optional<HostPort> admin(Map<String, String> environment, JsonNode in) {
    boolean none = environment.getOrDefault("LB_ADMIN", in.path("admin").asText("")).isEmpty();
    return none ? Optional.empty() : Optional.of(address(environment, in, "LB_ADMIN", "admin"));
  }

  private static long seed(JsonNode in) {
    String seed = in.path("seed").asText("");
    try {
      return Long.parseUnsignedLong(seed, 16);
    } catch (NumberFormatException e) {
      throw new ConfigurationException("'seed' is not a hexadecimal number of 64 bits");
    }
  }
}
