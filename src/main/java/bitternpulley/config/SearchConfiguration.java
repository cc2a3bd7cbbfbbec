package bitternpulley.config;

import bitternpulley.net.HostPort;
import java.util.List;
import java.util.Map;

/**
 * The second front: where it listens, the port at which slot servers speak the same API, its
 * bounds, and the indices with their class and the sections they span.
 */
public record SearchConfiguration(
    HostPort listen,
    int serverPort,
    int maxResultWindow,
    int maxSearches,
    int maxPartBytes,
    Map<String, Index> indices) {

  /** An index: its class by position in the settings, and the sections that hold its documents. */
  public record Index(String name, int requestClass, List<Integer> sections) {}
}
