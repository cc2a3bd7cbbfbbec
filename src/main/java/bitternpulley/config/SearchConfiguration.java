package bitternpulley.config;

import bitternpulley.net.HostPort;
import java.util.List;
import java.util.Map;

/**
 * The configuration of the OpenSearch-style search front end.
 *
 * @param listen the address that clients connect to
 * @param serverPort the port on which slot servers offer the same API
 * @param maxResultWindow the maximum of {@code from + size} of a search
 * @param maxSearches the maximum number of concurrent searches
 * @param maxPartBytes the maximum number of bytes in the answer of one server
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
   * @param name the name of the index
   * @param queryClass the query class of searches in the index, by position in the settings
   * @param shards the shards that hold documents of the index
   */
  public record Index(String name, int queryClass, List<Integer> shards) {}
}
