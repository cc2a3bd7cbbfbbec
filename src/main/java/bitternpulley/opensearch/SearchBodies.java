package bitternpulley.opensearch;

import bitternpulley.config.StrictJson;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Parses request bodies: a single search, or the lines of a multi-search. */
final class SearchBodies {
  private static final int LINES_PER_SEARCH = 2;
  private static final Pattern LINE_END = Pattern.compile("\r?\n");
  private static final Set<String> HEADER_KEYS =
      Set.of("index", "preference", "allow_partial_search_results");
  private static final List<String> HEADER_PARAMETERS =
      List.of("preference", "allow_partial_search_results");

  private SearchBodies() {}

  /**
   * One search of a multi-search.
   *
   * @param header the header line, which names the indices and parameters
   * @param body the body line, which holds the search itself
   */
  record Entry(JsonNode header, JsonNode body) {
    /** Returns the indices that the header names, or the default ones if it names none. */
    List<String> indicesOr(List<String> defaultIndices) {
      return header.hasNonNull("index") ? indexNames(header.get("index")) : defaultIndices;
    }

    /** Returns the parameters in the header. */
    Map<String, String> parameters() {
      Map<String, String> parameters = new HashMap<>();
      for (String key : HEADER_PARAMETERS) {
        if (header.hasNonNull(key)) {
          parameters.put(key, header.get(key).asText());
        }
      }
      return parameters;
    }
  }

  /**
   * Parses the body of a multi-search.
   *
   * @param body a header line and a body line for each search
   * @param maxSearches the maximum number of searches in one request
   * @throws SearchException if the body is malformed or has too many searches
   */
  static List<Entry> parseMulti(byte[] body, int maxSearches) {
    List<JsonNode> lines = lines(body);
    int count = lines.size() / LINES_PER_SEARCH;
    if (count > maxSearches) {
      throw SearchException.illegalArgument(
          "at most " + maxSearches + " searches in one request, not " + count);
    }
    List<Entry> entries = new ArrayList<>(count);
    for (int line = 0; line < lines.size(); line += LINES_PER_SEARCH) {
      JsonNode header = lines.get(line);
      checkHeader(header);
      entries.add(new Entry(header, lines.get(line + 1)));
    }
    return entries;
  }

  /** Parses the body of a single search; an empty body counts as an empty object. */
  static JsonNode parseSingle(byte[] body) {
    return body.length == 0 ? JsonNodeFactory.instance.objectNode() : parseJson(body);
  }

  private static List<JsonNode> lines(byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    if (!text.endsWith("\n")) {
      throw SearchException.illegalArgument(
          "The msearch request must be terminated by a newline [\\n]");
    }
    List<JsonNode> lines = new ArrayList<>();
    for (String line : LINE_END.split(text, 0)) {
      byte[] bytes = line.isBlank() ? new byte[0] : line.getBytes(StandardCharsets.UTF_8);
      lines.add(parseSingle(bytes));
    }
    if (lines.isEmpty() || lines.size() % LINES_PER_SEARCH != 0) {
      throw SearchException.illegalArgument("a search is a header line and a body line");
    }
    return lines;
  }

  private static void checkHeader(JsonNode header) {
    if (!header.isObject()) {
      throw SearchException.illegalArgument("a header line is not a JSON object");
    }
    header.fieldNames().forEachRemaining(SearchBodies::checkHeaderKey);
  }

  private static void checkHeaderKey(String key) {
    if (!HEADER_KEYS.contains(key)) {
      throw SearchException.illegalArgument(
          "key [" + key + "] is not supported in the metadata section");
    }
  }

  private static List<String> indexNames(JsonNode index) {
    if (!index.isArray()) {
      return SearchTarget.indexNames(index.asText());
    }
    List<String> names = new ArrayList<>();
    index.forEach(name -> names.addAll(SearchTarget.indexNames(name.asText())));
    return names;
  }

  private static JsonNode parseJson(byte[] text) {
    try {
      return StrictJson.read(text);
    } catch (IOException exception) {
      throw SearchException.unparsable("the body is not JSON");
    }
  }
}
