package bitternpulley.opensearch;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Payload;
import bitternpulley.config.SearchConfiguration;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A search, decoded once: what it asks for, and the parts it falls into, one for each section of
 * each index. {@code timeout} is what the client asked for in ms, or below 0; {@code trackTotal}
 * the number up to which matches are counted, below 0 for not at all.
 */
record Search(
    String id,
    List<Part> parts,
    int requestClass,
    int from,
    int size,
    double timeout,
    boolean mayBePartial,
    long trackTotal,
    String token,
    ObjectNode body,
    Consumer<Effect.Answer> done)
    implements Payload {

  /** Matches that are counted unless a search says otherwise. */
  private static final long TRACK_TOTAL = 10_000;

  private static final int SIZE = 10;
  private static final Pattern TIME = Pattern.compile("([0-9]{1,9})(ms|s|m)");

  /**
   * Keys of a body that each section can deal with alone, so that hits merged by score are the
   * right answer.
   */
  private static final Set<String> PASSED =
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

  private static final Set<String> OWN =
      Set.of("from", "size", "timeout", "track_total_hits", "track_scores", "sort");
  private static final Set<String> UNMERGEABLE =
      Set.of(
          "aggs",
          "aggregations",
          "sort",
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

  /** One section of one index. */
  record Part(String index, int section) {}

  /** What comes with a search beside its body. */
  record Asked(
      String id, String token, Map<String, String> parameters, Consumer<Effect.Answer> done) {}

  /**
   * Reads a search over the named indices; throws SearchException where it cannot be answered
   * rightly.
   */
  static Search read(List<String> names, Asked asked, JsonNode in, SearchConfiguration config) {
    if (!in.isObject()) {
      throw new SearchException(400, "parsing_exception", "the body is not a JSON object");
    }
    in.fieldNames().forEachRemaining(Search::check);
    sort(in.path("sort"));
    Map<String, String> parameters = asked.parameters();
    int from = count(in, parameters, "from", 0);
    int size = count(in, parameters, "size", SIZE);
    if ((long) from + size > config.maxResultWindow()) {
      throw SearchException.illegal(
          "Result window is too large, from + size must be less than or equal to: ["
              + config.maxResultWindow()
              + "] but was ["
              + ((long) from + size)
              + "]");
    }
    List<SearchConfiguration.Index> indices = indices(names, config);
    List<Part> parts = parts(indices, parameters.get("preference"));
    ObjectNode body = ((ObjectNode) in).deepCopy();
    body.remove(OWN);
    long track = trackTotal(in, parameters);
    body.put("from", 0).put("size", from + size);
    if (track < 0) {
      body.put("track_total_hits", false);
    } else {
      body.put("track_total_hits", (int) Math.min(track, Integer.MAX_VALUE));
    }
    return new Search(
        asked.id(),
        parts,
        indices.get(0).requestClass(),
        from,
        size,
        timeout(in, parameters),
        flag(parameters, "allow_partial_search_results", true),
        track,
        asked.token(),
        body,
        asked.done());
  }

  private static void check(String key) {
    if (UNMERGEABLE.contains(key) && !key.equals("sort")) {
      throw SearchException.illegal("[" + key + "] cannot be merged across sections here");
    }
    if (!PASSED.contains(key) && !OWN.contains(key)) {
      throw new SearchException(
          400, "parsing_exception", "Unknown key for a VALUE in [" + key + "].");
    }
  }

  /** By score, best first, is the one order in which sections can be merged. */
  private static void sort(JsonNode sort) {
    boolean byScore = sort.isMissingNode();
    for (JsonNode s : sort.isArray() ? sort : List.of(sort)) {
      JsonNode order = s.isObject() && s.size() == 1 ? s.path("_score") : s;
      byScore |=
          order.asText("").equals("_score")
              || order.asText("").equals("desc")
              || order.path("order").asText("").equals("desc");
    }
    if (!byScore || sort.isArray() && sort.size() != 1) {
      throw SearchException.illegal(
          "[sort] other than by _score, descending, cannot be merged across sections here");
    }
  }

  private static List<SearchConfiguration.Index> indices(
      List<String> names, SearchConfiguration config) {
    List<SearchConfiguration.Index> found = new ArrayList<>();
    for (String name : names) {
      SearchConfiguration.Index index = config.indices().get(name);
      if (index == null) {
        throw new SearchException(404, "index_not_found_exception", "no such index [" + name + "]");
      }
      if (!found.contains(index)) {
        found.add(index);
      }
    }
    if (found.stream().map(SearchConfiguration.Index::requestClass).distinct().count() != 1) {
      throw SearchException.illegal(
          "indices " + names + " are of different classes and need searches of their own");
    }
    return found;
  }

  private static List<Part> parts(List<SearchConfiguration.Index> indices, String preference) {
    Set<Integer> wanted =
        preference == null || !preference.startsWith("_") ? null : sections(preference);
    List<Part> parts = new ArrayList<>();
    for (SearchConfiguration.Index index : indices) {
      for (int section : index.sections()) {
        if (wanted == null || wanted.contains(section)) {
          parts.add(new Part(index.name(), section));
        }
      }
    }
    if (parts.isEmpty()) {
      throw SearchException.illegal(
          "no section is left to search by preference [" + preference + "]");
    }
    return List.copyOf(parts);
  }

  private static Set<Integer> sections(String preference) {
    if (!preference.matches("_shards:[0-9]{1,6}(,[0-9]{1,6})*")) {
      throw SearchException.illegal("no Preference for [" + preference + "]");
    }
    Set<Integer> sections = new HashSet<>();
    for (String s : preference.substring("_shards:".length()).split(",")) {
      sections.add(Integer.parseInt(s));
    }
    return sections;
  }

  private static int count(JsonNode in, Map<String, String> parameters, String key, int absent) {
    String text =
        parameters.getOrDefault(key, in.has(key) ? in.get(key).asText() : String.valueOf(absent));
    if (!text.matches("[0-9]{1,9}")) {
      throw SearchException.illegal(
          "[" + key + "] parameter must be a whole number of 0 or more, but was [" + text + "]");
    }
    return Integer.parseInt(text);
  }

  private static boolean flag(Map<String, String> parameters, String key, boolean absent) {
    String text = parameters.getOrDefault(key, String.valueOf(absent));
    if (!text.equals("true") && !text.equals("false") && !text.isEmpty()) {
      throw SearchException.illegal(
          "Failed to parse value [" + text + "] as only [true] or [false] are allowed.");
    }
    return !text.equals("false");
  }

  private static long trackTotal(JsonNode in, Map<String, String> parameters) {
    String text =
        parameters.getOrDefault(
            "track_total_hits",
            in.has("track_total_hits")
                ? in.get("track_total_hits").asText()
                : String.valueOf(TRACK_TOTAL));
    if (text.equals("true")) {
      return Integer.MAX_VALUE;
    }
    if (text.equals("false")) {
      return -1;
    }
    if (!text.matches("[0-9]{1,9}")) {
      throw SearchException.illegal(
          "[track_total_hits] must be true, false or a whole number, but was [" + text + "]");
    }
    return Long.parseLong(text);
  }

  private static double timeout(JsonNode in, Map<String, String> parameters) {
    String text = parameters.getOrDefault("timeout", in.path("timeout").asText(""));
    if (text.isEmpty() || text.equals("-1")) {
      return -1;
    }
    Matcher match = TIME.matcher(text);
    if (!match.matches()) {
      throw SearchException.illegal(
          "failed to parse setting [timeout] with value [" + text + "] as a time value");
    }
    double factor =
        switch (match.group(2)) {
          case "ms" -> 1;
          case "s" -> 1000;
          default -> 60_000;
        };
    return Integer.parseInt(match.group(1)) * factor;
  }
}
