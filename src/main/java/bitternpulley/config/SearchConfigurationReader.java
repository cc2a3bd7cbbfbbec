package bitternpulley.config;

import bitternpulley.net.HostPort;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Reads the configuration of the OpenSearch-style search front end from the operators' script. If
 * the script does not have it, reads the file named by LB_OPENSEARCH, or by default the one under
 * deploy/.
 */
public final class SearchConfigurationReader {
  private static final System.Logger LOG =
      System.getLogger(SearchConfigurationReader.class.getName());
  private static final String DEFAULT_FILE = "deploy/opensearch.json";
  private static final int DEFAULT_SERVER_PORT = 9200;
  private static final int DEFAULT_MAX_RESULT_WINDOW = 10_000;
  private static final int DEFAULT_MAX_SEARCHES = 64;
  private static final int DEFAULT_MAX_PART_BYTES = 256 * 1024;

  private SearchConfigurationReader() {}

  /** Returns empty if the search front end is not configured or has no listen address. */
  public static Optional<SearchConfiguration> read(
      Map<String, String> environment, Settings settings, Optional<JsonNode> scriptSection) {
    return scriptSection.isPresent()
        ? configuration("opensearch()", scriptSection.get(), settings)
        : readFile(environment, settings);
  }

  private static Optional<SearchConfiguration> readFile(
      Map<String, String> environment, Settings settings) {
    boolean isVariableSet = environment.containsKey("LB_OPENSEARCH");
    String name = environment.getOrDefault("LB_OPENSEARCH", "");
    Path path = Path.of(name.isEmpty() ? DEFAULT_FILE : name);
    if (!isVariableSet && !Files.exists(path)) {
      return Optional.empty();
    }
    Optional<SearchConfiguration> configuration =
        configuration(path.toString(), json(path), settings);
    if (configuration.isPresent()) {
      LOG.log(
          System.Logger.Level.WARNING,
          path
              + " is superseded: opensearch() in the operators' script, which"
              + " LB_BROKER names, says the same (docs/contracts.md)");
    }
    return configuration;
  }

  private static JsonNode json(Path path) {
    try {
      return StrictJson.read(Files.readAllBytes(path));
    } catch (IOException exception) {
      throw ConfigurationException.ofFile(path.toString(), path + ": cannot be read as JSON");
    }
  }

  private static Optional<SearchConfiguration> configuration(
      String file, JsonNode section, Settings settings) {
    if (!section.path("listen").isTextual()) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new SearchConfiguration(
              listen(section),
              positiveInteger(section, "server_port", DEFAULT_SERVER_PORT),
              positiveInteger(section, "max_result_window", DEFAULT_MAX_RESULT_WINDOW),
              positiveInteger(section, "max_searches", DEFAULT_MAX_SEARCHES),
              positiveInteger(section, "max_part_bytes", DEFAULT_MAX_PART_BYTES),
              indices(section.path("indices"), settings)));
    } catch (ConfigurationException error) {
      throw error.inFile(file);
    }
  }

  private static HostPort listen(JsonNode section) {
    return ConfigurationFile.address("listen", section.path("listen").textValue());
  }

  private static int positiveInteger(JsonNode section, String key, int defaultValue) {
    JsonNode value = section.path(key);
    if (!value.isMissingNode() && (!value.isInt() || value.intValue() < 1)) {
      throw ConfigurationException.ofKey(key, "'" + key + "' is not a positive integer");
    }
    return value.asInt(defaultValue);
  }

  private static Map<String, SearchConfiguration.Index> indices(
      JsonNode entries, Settings settings) {
    if (!entries.isObject() || entries.isEmpty()) {
      throw ConfigurationException.ofKey("indices", "'indices' is missing or empty");
    }
    Map<String, SearchConfiguration.Index> indices = new LinkedHashMap<>();
    entries
        .fields()
        .forEachRemaining(
            entry ->
                indices.put(entry.getKey(), index(entry.getKey(), entry.getValue(), settings)));
    return indices;
  }

  private static SearchConfiguration.Index index(String name, JsonNode index, Settings settings) {
    if (!name.matches("[a-z0-9][a-z0-9_.-]{0,254}")) {
      throw ConfigurationException.ofKey(
          "indices", "'indices': '" + name + "' is not a valid index name");
    }
    return new SearchConfiguration.Index(
        name, queryClass(name, index, settings), shards(name, index, settings.layout().shards()));
  }

  private static int queryClass(String name, JsonNode index, Settings settings) {
    String className = index.path("class").asText("");
    List<String> classes = settings.classes().stream().map(Settings.QueryClass::name).toList();
    if (!classes.contains(className)) {
      String key = "indices." + name + ".class";
      throw ConfigurationException.ofKey(key, "'" + key + "' is not a query class of the settings");
    }
    return classes.indexOf(className);
  }

  /** The shards under the key 'sections' of an index; all shards if the key lists none. */
  private static List<Integer> shards(String name, JsonNode index, int shardCount) {
    List<Integer> shards = new ArrayList<>();
    for (JsonNode shard : index.path("sections")) {
      if (!isShard(shard, shardCount) || shards.contains(shard.intValue())) {
        String key = "indices." + name + ".sections";
        throw ConfigurationException.ofKey(
            key, "'" + key + "' contains " + shard + ", which is out of range or a duplicate");
      }
      shards.add(shard.intValue());
    }
    return shards.isEmpty() ? IntStream.range(0, shardCount).boxed().toList() : List.copyOf(shards);
  }

  private static boolean isShard(JsonNode value, int shardCount) {
    return value.isInt() && value.intValue() >= 0 && value.intValue() < shardCount;
  }
}
