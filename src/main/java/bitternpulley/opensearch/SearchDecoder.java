package bitternpulley.opensearch;

import bitternpulley.config.SearchConfiguration;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decodes one search. Its methods throw {@link SearchException} for a search that cannot be
 * answered correctly. A parameter of the request takes precedence over the same key of the body.
 */
final class SearchDecoder {
  /** Number up to which matches are counted unless the search sets another. */
  private static final long DEFAULT_TOTAL_HITS_LIMIT = 10_000;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int DEFAULT_SIZE = 10;
  private static final int NO_TIMEOUT = -1;
  private static final int COUNT_NO_HITS = -1;
  private static final Pattern TIME_VALUE = Pattern.compile("([0-9]{1,9})(ms|s|m)");
  private static final Pattern NON_NEGATIVE_INTEGER = Pattern.compile("[0-9]{1,9}");
  private static final String SHARDS_PREFERENCE_PREFIX = "_shards:";
  private static final Pattern SHARDS_PREFERENCE =
      Pattern.compile(SHARDS_PREFERENCE_PREFIX + "[0-9]{1,6}(,[0-9]{1,6})*");

  /**
   * Body keys that are forwarded to the servers: each shard can handle them alone, and the hits
   * merged by score are correct.
   */
  private static final Set<String> FORWARDED_KEYS =
      Set.of(
          "query",
          "post_filter",
          "min_score",
          "_source",
          "fields",
          "stored_fields",
          "docvalue_fields",
          "highlight",
          "version",
          "seq_no_primary_term",
          "explain",
          "script_fields");

  /** Body keys that the aggregator handles itself. */
  private static final Set<String> HANDLED_KEYS =
      Set.of("from", "size", "timeout", "track_total_hits", "track_scores", "sort");

  /** Body keys that are rejected, because hits cannot be merged correctly across shards. */
  private static final Set<String> UNMERGEABLE_KEYS =
      Set.of(
          "aggs",
          "aggregations",
          "collapse",
          "rescore",
          "suggest",
          "search_after",
          "slice",
          "pit",
          "profile",
          "terminate_after",
          "indices_boost",
          "knn",
          "ext",
          "stats",
          "search_pipeline",
          "derived",
          "scroll",
          "search_type");

  private final SearchConfiguration configuration;

  /** Creates a decoder for the configured indices and limits. */
  SearchDecoder(SearchConfiguration configuration) {
    this.configuration = configuration;
  }

  /**
   * Decodes a search.
   *
   * @param id the id of the search
   * @param idempotencyKey the client's idempotency key, or null
   * @param indexNames the indices to search; if empty, all configured indices
   * @param parameters the parameters given in the URL or, for a multi-search, in the header line
   * @param body the body
   */
  Search decode(
      String id,
      String idempotencyKey,
      List<String> indexNames,
      Map<String, String> parameters,
      JsonNode body) {
    checkBody(body);
    int from = nonNegativeInteger(body, parameters, "from", 0);
    int size = nonNegativeInteger(body, parameters, "size", DEFAULT_SIZE);
    checkResultWindow((long) from + size);
    List<SearchConfiguration.Index> indices = indices(indexNames);
    List<Search.Part> parts = parts(indices, parameters.get("preference"));
    long totalHitsLimit = totalHitsLimit(body, parameters);
    return new Search(
        id,
        parts,
        indices.get(0).queryClass(),
        from,
        size,
        timeoutMs(body, parameters),
        allowsPartialResults(parameters),
        totalHitsLimit,
        idempotencyKey,
        partBody(body, from + size, totalHitsLimit));
  }

  private static void checkBody(JsonNode body) {
    if (!body.isObject()) {
      throw SearchException.unparsable("the body is not a JSON object");
    }
    body.fieldNames().forEachRemaining(SearchDecoder::checkKey);
    checkSort(body.path("sort"));
  }

  private static void checkKey(String key) {
    if (UNMERGEABLE_KEYS.contains(key)) {
      throw SearchException.illegalArgument("[" + key + "] cannot be merged across sections here");
    }
    if (!FORWARDED_KEYS.contains(key) && !HANDLED_KEYS.contains(key)) {
      throw SearchException.unparsable("Unknown key for a VALUE in [" + key + "].");
    }
  }

  /** Rejects any order but descending score, because only hits in that order can be merged. */
  private static void checkSort(JsonNode sort) {
    boolean isByScore = sort.isMissingNode();
    for (JsonNode criterion : sort.isArray() ? sort : List.of(sort)) {
      isByScore |= isDescendingScore(criterion);
    }
    boolean hasOtherCriteria = sort.isArray() && sort.size() != 1;
    if (!isByScore || hasOtherCriteria) {
      throw SearchException.illegalArgument(
          "[sort] other than by _score, descending, cannot be merged across sections here");
    }
  }

  private static boolean isDescendingScore(JsonNode criterion) {
    boolean isSingleField = criterion.isObject() && criterion.size() == 1;
    JsonNode order = isSingleField ? criterion.path("_score") : criterion;
    return order.asText("").equals("_score")
        || order.asText("").equals("desc")
        || order.path("order").asText("").equals("desc");
  }

  private void checkResultWindow(long windowSize) {
    if (windowSize > configuration.maxResultWindow()) {
      throw SearchException.illegalArgument(
          "Result window is too large, from + size must be less than or equal to: ["
              + configuration.maxResultWindow()
              + "] but was ["
              + windowSize
              + "]");
    }
  }

  /** Returns the body for each part, which requests every hit that the merged window may hold. */
  private static byte[] partBody(JsonNode body, int windowSize, long totalHitsLimit) {
    ObjectNode partBody = ((ObjectNode) body).deepCopy();
    partBody.remove(HANDLED_KEYS);
    partBody.put("from", 0).put("size", windowSize);
    if (totalHitsLimit < 0) {
      partBody.put("track_total_hits", false);
    } else {
      partBody.put("track_total_hits", (int) Math.min(totalHitsLimit, Integer.MAX_VALUE));
    }
    try {
      return MAPPER.writeValueAsBytes(partBody);
    } catch (JsonProcessingException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  private List<SearchConfiguration.Index> indices(List<String> indexNames) {
    List<String> names =
        indexNames.isEmpty() ? List.copyOf(configuration.indices().keySet()) : indexNames;
    List<SearchConfiguration.Index> indices = new ArrayList<>();
    for (String name : names) {
      SearchConfiguration.Index index = index(name);
      if (!indices.contains(index)) {
        indices.add(index);
      }
    }
    if (indices.stream().map(SearchConfiguration.Index::queryClass).distinct().count() != 1) {
      throw SearchException.illegalArgument(
          "indices " + names + " are of different classes and need searches of their own");
    }
    return indices;
  }

  private SearchConfiguration.Index index(String name) {
    SearchConfiguration.Index index = configuration.indices().get(name);
    if (index == null) {
      throw new SearchException(404, "index_not_found_exception", "no such index [" + name + "]");
    }
    return index;
  }

  private static List<Search.Part> parts(
      List<SearchConfiguration.Index> indices, String preference) {
    boolean allShards = preference == null || !preference.startsWith("_");
    Set<Integer> preferredShards = allShards ? Set.of() : preferredShards(preference);
    List<Search.Part> parts = new ArrayList<>();
    for (SearchConfiguration.Index index : indices) {
      for (int shard : index.shards()) {
        if (allShards || preferredShards.contains(shard)) {
          parts.add(new Search.Part(index.name(), shard));
        }
      }
    }
    if (parts.isEmpty()) {
      throw SearchException.illegalArgument(
          "no section is left to search by preference [" + preference + "]");
    }
    return List.copyOf(parts);
  }

  private static Set<Integer> preferredShards(String preference) {
    if (!SHARDS_PREFERENCE.matcher(preference).matches()) {
      throw SearchException.illegalArgument("no Preference for [" + preference + "]");
    }
    Set<Integer> shards = new HashSet<>();
    for (String shard : preference.substring(SHARDS_PREFERENCE_PREFIX.length()).split(",", -1)) {
      shards.add(Integer.parseInt(shard));
    }
    return shards;
  }

  /** Returns the text of an option that may be a parameter or a key of the body. */
  private static String text(
      JsonNode body, Map<String, String> parameters, String key, String defaultText) {
    String bodyText = body.has(key) ? body.get(key).asText() : defaultText;
    return parameters.getOrDefault(key, bodyText);
  }

  private static int nonNegativeInteger(
      JsonNode body, Map<String, String> parameters, String key, int defaultValue) {
    String text = text(body, parameters, key, String.valueOf(defaultValue));
    if (!NON_NEGATIVE_INTEGER.matcher(text).matches()) {
      throw SearchException.illegalArgument(
          "[" + key + "] parameter must be a whole number of 0 or more, but was [" + text + "]");
    }
    return Integer.parseInt(text);
  }

  private static boolean allowsPartialResults(Map<String, String> parameters) {
    String text = parameters.getOrDefault("allow_partial_search_results", "true");
    if (!text.equals("true") && !text.equals("false") && !text.isEmpty()) {
      throw SearchException.illegalArgument(
          "Failed to parse value [" + text + "] as only [true] or [false] are allowed.");
    }
    return !text.equals("false");
  }

  private static long totalHitsLimit(JsonNode body, Map<String, String> parameters) {
    String text =
        text(body, parameters, "track_total_hits", String.valueOf(DEFAULT_TOTAL_HITS_LIMIT));
    if (text.equals("true")) {
      return Integer.MAX_VALUE;
    }
    if (text.equals("false")) {
      return COUNT_NO_HITS;
    }
    if (!NON_NEGATIVE_INTEGER.matcher(text).matches()) {
      throw SearchException.illegalArgument(
          "[track_total_hits] must be true, false or a whole number, but was [" + text + "]");
    }
    return Long.parseLong(text);
  }

  private static double timeoutMs(JsonNode body, Map<String, String> parameters) {
    String text = parameters.getOrDefault("timeout", body.path("timeout").asText(""));
    if (text.isEmpty() || text.equals("-1")) {
      return NO_TIMEOUT;
    }
    Matcher match = TIME_VALUE.matcher(text);
    if (!match.matches()) {
      throw SearchException.illegalArgument(
          "failed to parse setting [timeout] with value [" + text + "] as a time value");
    }
    double unitMs =
        switch (match.group(2)) {
          case "ms" -> 1;
          case "s" -> 1000;
          default -> 60_000;
        };
    return Integer.parseInt(match.group(1)) * unitMs;
  }
}
