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
 * Reads the configuration of the OpenSearch-style front from the operators' script, else from the
 * file that LB_OPENSEARCH names or the one under deploy/.
 */
public final class SearchConfigurationReader {
  private static final System.Logger LOG =
      System.getLogger(SearchConfigurationReader.class.getName());
  private static final String DEFAULT_FILE = "deploy/opensearch.json";
  private static final int DEFAULT_SERVER_PORT = 9200;
  private static final int DEFAULT_RESULT_WINDOW = 10_000;
  private static final int DEFAULT_SEARCHES = 64;
  private static final int DEFAULT_PART_BYTES = 256 * 1024;

  private SearchConfigurationReader() {}

  /** The front's configuration, or empty if there is none or it has no address. */
  public static Optional<SearchConfiguration> read(
      Map<String, String> environment, Settings settings, Optional<JsonNode> script) {
    return script.isPresent()
        ? configuration("opensearch()", script.get(), settings)
        : readFile(environment, settings);
  }

  private static Optional<SearchConfiguration> readFile(
      Map<String, String> environment, Settings settings) {
    boolean isNamed = environment.containsKey("LB_OPENSEARCH");
    String name = environment.getOrDefault("LB_OPENSEARCH", "");
    Path path = Path.of(name.isEmpty() ? DEFAULT_FILE : name);
    if (!isNamed && !Files.exists(path)) {
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
    } catch (IOException unreadable) {
      throw ConfigurationException.ofFile(path.toString(), path + ": cannot be read as JSON");
    }
  }

  private static Optional<SearchConfiguration> configuration(
      String file, JsonNode front, Settings settings) {
    if (!front.path("listen").isTextual()) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new SearchConfiguration(
              listen(front),
              positiveInteger(front, "server_port", DEFAULT_SERVER_PORT),
              positiveInteger(front, "max_result_window", DEFAULT_RESULT_WINDOW),
              positiveInteger(front, "max_searches", DEFAULT_SEARCHES),
              positiveInteger(front, "max_part_bytes", DEFAULT_PART_BYTES),
              indices(front.path("indices"), settings)));
    } catch (ConfigurationException error) {
      throw error.inFile(file);
    }
  }

  private static HostPort listen(JsonNode front) {
    return ConfigurationFile.address("listen", front.path("listen").textValue());
  }

  private static int positiveInteger(JsonNode front, String key, int defaultValue) {
    JsonNode value = front.path(key);
    if (!value.isMissingNode() && (!value.isInt() || value.intValue() < 1)) {
      throw ConfigurationException.ofKey(key, "'" + key + "' is not a whole number above 0");
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
          "indices", "'indices': '" + name + "' is no name for an index");
    }
    return new SearchConfiguration.Index(
        name, queryClass(name, index, settings), sections(name, index, settings.layout().shards()));
  }

  private static int queryClass(String name, JsonNode index, Settings settings) {
    String className = index.path("class").asText("");
    List<String> classes = settings.classes().stream().map(Settings.QueryClass::name).toList();
    if (!classes.contains(className)) {
      String key = "indices." + name + ".class";
      throw ConfigurationException.ofKey(key, "'" + key + "' names no class of the settings");
    }
    return classes.indexOf(className);
  }

  /** The sections of an index; all if it names none. */
  private static List<Integer> sections(String name, JsonNode index, int shards) {
    List<Integer> sections = new ArrayList<>();
    for (JsonNode section : index.path("sections")) {
      if (!isShard(section, shards) || sections.contains(section.intValue())) {
        String key = "indices." + name + ".sections";
        throw ConfigurationException.ofKey(
            key, "'" + key + "' holds " + section + ", which is no section or comes twice");
      }
      sections.add(section.intValue());
    }
    return sections.isEmpty() ? IntStream.range(0, shards).boxed().toList() : List.copyOf(sections);
  }

  private static boolean isShard(JsonNode section, int shards) {
    return section.isInt() && section.intValue() >= 0 && section.intValue() < shards;
  }
}
