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
 * Reads the file of the OpenSearch-style front; LB_OPENSEARCH may name another than the one under
 * deploy/.
 */
public final class SearchConfigurationReader {
  private static final System.Logger LOG =
      System.getLogger(SearchConfigurationReader.class.getName());
  private static final String FILE = "deploy/opensearch.json";
  private static final int WINDOW = 10_000;
  private static final int SEARCHES = 64;
  private static final int PART_BYTES = 256 * 1024;

  private SearchConfigurationReader() {}

  /**
   * The front's configuration, or empty where there is none or it names no address to listen at:
   * what the operators' script says, and where that says nothing, the file that came before it.
   */
  public static Optional<SearchConfiguration> read(
      Map<String, String> environment, Settings settings, Optional<JsonNode> script) {
    return script.isPresent()
        ? of("opensearch()", script.get(), settings)
        : file(environment, settings);
  }

  private static Optional<SearchConfiguration> file(
      Map<String, String> environment, Settings settings) {
    String named = environment.get("LB_OPENSEARCH");
    Path path = Path.of(named == null || named.isEmpty() ? FILE : named);
    if (named == null && !Files.exists(path)) {
      return Optional.empty();
    }
    JsonNode in;
    try {
      in = StrictJson.read(Files.readAllBytes(path));
    } catch (IOException e) {
      throw new ConfigurationException(path + ": cannot be read as JSON");
    }
    Optional<SearchConfiguration> read = of(path.toString(), in, settings);
    read.ifPresent(
        c ->
            LOG.log(
                System.Logger.Level.WARNING,
                path
                    + " is superseded: opensearch() in the operators' script, which"
                    + " LB_BROKER names, says the same (docs/contracts.md)"));
    return read;
  }

  private static Optional<SearchConfiguration> of(String path, JsonNode in, Settings settings) {
    if (!in.path("listen").isTextual()) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new SearchConfiguration(
              listen(in),
              count(in, "server_port", 9200),
              count(in, "max_result_window", WINDOW),
              count(in, "max_searches", SEARCHES),
              count(in, "max_part_bytes", PART_BYTES),
              indices(in.path("indices"), settings)));
    } catch (ConfigurationException e) {
      throw new ConfigurationException(path + ": " + e.getMessage());
    }
  }

  private static HostPort listen(JsonNode in) {
    try {
      return HostPort.parse(in.path("listen").textValue());
    } catch (IllegalArgumentException e) {
      throw new ConfigurationException("'listen': " + e.getMessage());
    }
  }

  private static int count(JsonNode in, String key, int absent) {
    JsonNode value = in.path(key);
    if (!value.isMissingNode() && (!value.isInt() || value.intValue() < 1)) {
      throw new ConfigurationException("'" + key + "' is not a whole number above 0");
    }
    return value.asInt(absent);
  }

  private static Map<String, SearchConfiguration.Index> indices(JsonNode in, Settings settings) {
    if (!in.isObject() || in.isEmpty()) {
      throw new ConfigurationException("'indices' is missing or empty");
    }
    Map<String, SearchConfiguration.Index> indices = new LinkedHashMap<>();
    in.fields()
        .forEachRemaining(e -> indices.put(e.getKey(), index(e.getKey(), e.getValue(), settings)));
    return indices;
  }

  private static SearchConfiguration.Index index(String name, JsonNode in, Settings settings) {
    if (!name.matches("[a-z0-9][a-z0-9_.-]{0,254}")) {
      throw new ConfigurationException("'indices': '" + name + "' is no name for an index");
    }
    String wanted = in.path("class").asText("");
    List<String> classes = settings.classes().stream().map(Settings.QueryClass::name).toList();
    if (!classes.contains(wanted)) {
      throw new ConfigurationException(
          "'indices." + name + ".class' names no class of the settings");
    }
    int shards = settings.layout().shards();
    List<Integer> sections = new ArrayList<>();
    for (JsonNode s : in.path("sections")) {
      if (!s.isInt()
          || s.intValue() < 0
          || s.intValue() >= shards
          || sections.contains(s.intValue())) {
        throw new ConfigurationException(
            "'indices." + name + ".sections' holds " + s + ", which is no section or comes twice");
      }
      sections.add(s.intValue());
    }
    return new SearchConfiguration.Index(
        name,
        classes.indexOf(wanted),
        sections.isEmpty() ? IntStream.range(0, shards).boxed().toList() : List.copyOf(sections));
  }
}
