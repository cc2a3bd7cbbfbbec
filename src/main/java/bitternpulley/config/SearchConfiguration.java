package bitternpulley.config;

import bitternpulley.net.HostPort;
import java.util.List;
import java.util.Map;

/**
 * The configuration of the OpenSearch-style front.
 *
 * @param listen the address for clients
 * @param serverPort the port at which slot servers offer the same API
 * @param maxResultWindow the most documents that a search may span
 * @param maxSearches the most concurrent searches
 * @param maxPartBytes the most bytes in the answer of one server
 * @param indices the indices by name
 */
public record SearchConfiguration(
    HostPort listen,
    int serverPort,
    int maxResultWindow,
    int maxSearches,
    int maxPartBytes,
    Map<String, Index> indices) {

  /**
   * An index.
   *
   * @param name its name
   * @param queryClass the query class of its searches, by position in the settings
   * @param shards the shards that hold its documents
   */
  public record Index(String name, int queryClass, List<Integer> shards) {}
}
