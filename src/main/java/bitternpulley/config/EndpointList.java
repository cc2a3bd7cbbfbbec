package bitternpulley.config;

import static bitternpulley.config.Fields.flag;
import static bitternpulley.config.Fields.nonNegative;
import static bitternpulley.config.Fields.number;
import static bitternpulley.config.Fields.required;
import static bitternpulley.config.Fields.text;

import bitternpulley.net.HostPort;
import bitternpulley.routing.Router;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A list of slot servers from discovery: either all servers or only those that changed.
 *
 * @param revision the number of the list, which never decreases
 * @param complete whether the list has all servers; otherwise it has only those that changed
 * @param entries the servers
 */
public record EndpointList(long revision, boolean complete, List<Entry> entries) {

  /**
   * A server and its address.
   *
   * @param endpoint the server as the routing policy sees it
   * @param address the address on which the server listens; may be null unless the server is live
   */
  public record Entry(Router.Endpoint endpoint, HostPort address) {}

  /**
   * Reads a list in the format of the discovery service.
   *
   * @param list the JSON object
   * @param zones the names of the zones, in the order of their numbers
   * @param entryErrors receives the error of each entry that cannot be used; unless it throws, the
   *     entry is skipped and the others are used
   */
  public static EndpointList read(
      JsonNode list, List<String> zones, Consumer<ConfigurationException> entryErrors) {
    List<Entry> entries = new ArrayList<>();
    JsonNode servers = required(list, "members");
    if (!servers.isArray()) {
      throw ConfigurationException.ofKey("members", "field 'members' is not a list");
    }
    for (JsonNode server : servers) {
      try {
        entries.add(entry(server, zones));
      } catch (ConfigurationException error) {
        entryErrors.accept(error);
      }
    }
    return new EndpointList(
        (long) number(list, "revision"), flag(list, "complete"), List.copyOf(entries));
  }

  private static Entry entry(JsonNode server, List<String> zones) {
    String id = text(server, "id");
    Router.ServerState state = state(server, id);
    // Only a live server needs an address; draining and removed servers may have none.
    HostPort address = server.hasNonNull("host_port") ? address(server, id) : null;
    if (address == null && state == Router.ServerState.LIVE) {
      throw serverError(id, "host_port", "'host_port' is missing");
    }
    int zone = Math.max(0, zones.indexOf(server.path("locality").asText("")));
    return new Entry(
        new Router.Endpoint(
            id,
            zone,
            (int) number(server, "cell", 0),
            state,
            nonNegative(server, "up_since_ms", 0)),
        address);
  }

  private static Router.ServerState state(JsonNode server, String id) {
    return switch (text(server, "phase")) {
      case "up" -> Router.ServerState.LIVE;
      case "draining" -> Router.ServerState.DRAINING;
      case "removed" -> Router.ServerState.GONE;
      default -> throw serverError(id, "phase", "'phase' has an unknown value");
    };
  }

  private static HostPort address(JsonNode server, String id) {
    try {
      return HostPort.parse(text(server, "host_port"));
    } catch (IllegalArgumentException exception) {
      throw serverError(id, "host_port", "'host_port': " + exception.getMessage());
    }
  }

  private static ConfigurationException serverError(String id, String key, String message) {
    return ConfigurationException.ofKey(key, "server " + id + ": " + message);
  }
}
