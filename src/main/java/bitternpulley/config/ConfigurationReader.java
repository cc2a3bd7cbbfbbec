package bitternpulley.config;

import bitternpulley.net.HostPort;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the configuration file named by LB_CONFIG; other environment variables take precedence over
 * some of its keys.
 */
public final class ConfigurationReader {
  /**
   * The shortest tick in ms. The tick is the resolution of the clock and of alarms that the routing
   * policy assumes. The timers of the process have a fixed granularity, and the process may have to
   * wait for its share of a core; with a shorter tick, answers sent just in time would arrive late.
   */
  private static final double MIN_TICK_MS = 4;

  private static final double DEFAULT_SOCKETS = 1024;
  private static final int MIN_SOCKETS = 64;
  private static final double DEFAULT_CALLS_PER_CONNECTION = 100;
  private static final double DEFAULT_KEEPALIVE_MS = 15_000;
  private static final int HEXADECIMAL_RADIX = 16;

  private ConfigurationReader() {}

  /**
   * Reads the whole configuration.
   *
   * @throws ConfigurationException that names the faulty environment variable or key
   */
  public static Configuration read(Map<String, String> environment) {
    ConfigurationFile file = ConfigurationFile.open(environment);
    JsonNode settings = file.path("settings");
    if (!settings.isObject()) {
      throw ConfigurationException.ofKey("settings", "'settings' is missing");
    }
    List<String> zones = zones(settings);
    SettingsValidator.validate(settings, zones.size());
    EndpointList lastEndpoints = lastEndpoints(file.path("known"), zones);
    int maxSockets = maxSockets(file.path("limits"));
    int callsPerConnection =
        (int)
            nonNegativeSetting(
                settings.path("policyLimits"), "streamsPerConn", DEFAULT_CALLS_PER_CONNECTION);
    double keepalive =
        nonNegativeSetting(settings.path("policyLimits"), "keepalive", DEFAULT_KEEPALIVE_MS);
    return new Configuration(
        file.requiredText("LB_NAME", "name"),
        file.requiredAddress("LB_LISTEN", "listen"),
        file.requiredAddress("LB_DISCOVERY", "discovery"),
        seed(file),
        maxSockets,
        lastEndpoints,
        SettingsReader.read(settings).withMinimumTick(MIN_TICK_MS),
        new Configuration.ConnectionSettings(
            callsPerConnection,
            keepalive,
            nonNegativeSetting(settings.path("costs"), "handshake", 0) > 0),
        zones,
        processSettings(file),
        peers(file));
  }

  /**
   * Reads the configuration again after the file was replaced. LB_DISCOVERY is ignored, because its
   * value dates from the start of the process; the address in the file is used instead.
   */
  public static Configuration reread(Map<String, String> environment) {
    Map<String, String> withoutDiscovery = new HashMap<>(environment);
    withoutDiscovery.remove("LB_DISCOVERY");
    return read(withoutDiscovery);
  }

  /** The names of the zones in the settings; endpoint lists of discovery use the same names. */
  public static List<String> zones(JsonNode settings) {
    List<String> zones = new ArrayList<>();
    settings.path("failureDomains").forEach(zone -> zones.add(zone.asText()));
    return List.copyOf(zones);
  }

  private static EndpointList lastEndpoints(JsonNode known, List<String> zones) {
    if (known.isMissingNode() || known.isNull()) {
      return new EndpointList(0, true, List.of());
    }
    return Sections.inSection(
        "known",
        () ->
            EndpointList.read(
                known,
                zones,
                error -> {
                  throw error;
                }));
  }

  private static int maxSockets(JsonNode limits) {
    double sockets =
        Sections.inSection("limits", () -> Fields.nonNegative(limits, "sockets", DEFAULT_SOCKETS));
    if (sockets < MIN_SOCKETS) {
      throw ConfigurationException.ofKey("sockets", "limits: 'sockets' is below " + MIN_SOCKETS);
    }
    return (int) sockets;
  }

  private static double nonNegativeSetting(JsonNode section, String key, double defaultValue) {
    return Sections.inSection("settings", () -> Fields.nonNegative(section, key, defaultValue));
  }

  private static long seed(ConfigurationFile file) {
    try {
      return Long.parseUnsignedLong(file.path("seed").asText(""), HEXADECIMAL_RADIX);
    } catch (NumberFormatException exception) {
      throw ConfigurationException.ofKey("seed", "'seed' is not a 64-bit hexadecimal number");
    }
  }

  private static Configuration.ProcessSettings processSettings(ConfigurationFile file) {
    Optional<HostPort> admin =
        file.text("LB_ADMIN", "admin").isEmpty()
            ? Optional.empty()
            : Optional.of(file.requiredAddress("LB_ADMIN", "admin"));
    String directory = file.variable("TMPDIR");
    return new Configuration.ProcessSettings(
        admin,
        directory.isEmpty() ? Optional.empty() : Optional.of(Path.of(directory)),
        !file.variable("LB_PASSED_SOCKET").isEmpty());
  }

  private static Optional<Configuration.Peers> peers(ConfigurationFile file) {
    String listen = file.path("peer_listen").asText("");
    if (listen.isEmpty()) {
      return Optional.empty();
    }
    List<HostPort> peers = new ArrayList<>();
    file.path("peers")
        .forEach(peer -> peers.add(ConfigurationFile.address("peers", peer.asText(""))));
    return Optional.of(
        new Configuration.Peers(
            ConfigurationFile.address("peer_listen", listen), List.copyOf(peers)));
  }
}
