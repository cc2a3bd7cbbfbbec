package bitternpulley.config;

import static bitternpulley.config.Fields.figure;
import static bitternpulley.config.Fields.flag;
import static bitternpulley.config.Fields.need;
import static bitternpulley.config.Fields.number;
import static bitternpulley.config.Fields.text;

import bitternpulley.net.HostPort;
import bitternpulley.routing.Router;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A list of slot servers, or a change to one, in discovery's form. */
public record EndpointList(long revision, boolean complete, List<Entry> entries) {

  /** A server and where this aggregator reaches it. */
  public record Entry(Router.Endpoint endpoint, HostPort address) {}

  /**
   * Reads a list; {@code zones} are the names that the settings number. An entry that cannot be
   * used is told to {@code faults} and, unless that throws, left out: it must not keep the others
   * from being heard.
   */
  public static EndpointList read(
      JsonNode in, List<String> zones, Consumer<ConfigurationException> faults) {
    List<Entry> entries = new ArrayList<>();
    JsonNode members = need(in, "members");
    if (!members.isArray()) {
      throw new ConfigurationException("field 'members' is not a list");
    }
    for (JsonNode m : members) {
      try {
        entries.add(entry(m, zones));
      } catch (ConfigurationException e) {
        faults.accept(e);
      }
    }
    return new EndpointList(
        (long) number(in, "revision"), flag(in, "complete"), List.copyOf(entries));
  }

  private static Entry entry(JsonNode m, List<String> zones) {
    String id = text(m, "id");
    Router.ServerState state =
        switch (text(m, "phase")) {
          case "up" -> Router.ServerState.LIVE;
          case "draining" -> Router.ServerState.DRAINING;
          case "removed" -> Router.ServerState.GONE;
          default ->
              throw new ConfigurationException("server " + id + ": 'phase' is none that is known");
        };
    // Only a server that is to be sent to needs an address. Guards against a drain that is not
    // heard for want of one.
    HostPort address = m.hasNonNull("host_port") ? address(m, id) : null;
    if (address == null && state == Router.ServerState.LIVE) {
      throw new ConfigurationException("server " + id + ": 'host_port' is missing");
    }
    int zone = Math.max(0, zones.indexOf(m.path("locality").asText("")));
    return new Entry(
        new Router.Endpoint(
            id, zone, (int) number(m, "cell", 0), state, figure(m, "up_since_ms", 0)),
        address);
  }

  private static HostPort address(JsonNode m, String id) {
    try {
      return HostPort.parse(text(m, "host_port"));
    } catch (IllegalArgumentException e) {
      throw new ConfigurationException("server " + id + ": 'host_port': " + e.getMessage());
    }
  }
}
