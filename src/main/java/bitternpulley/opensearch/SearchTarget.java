package bitternpulley.opensearch;

import bitternpulley.net.HttpHead;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The operation, the indices and the parameters that the head of a request names.
 *
 * @param operation the operation, given by the last segment of the path
 * @param indices the names of the indices in the path; empty if the path names none
 * @param parameters the URL parameters, not yet checked against the operation
 */
record SearchTarget(Operation operation, List<String> indices, Map<String, String> parameters) {
  private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[!-~]{1,128}");

  private static final Set<String> SEARCH_PARAMETERS =
      Set.of(
          "from",
          "size",
          "timeout",
          "allow_partial_search_results",
          "track_total_hits",
          "preference",
          "request_cache",
          "max_concurrent_shard_requests",
          "batched_reduce_size");

  private static final Set<String> MULTI_SEARCH_PARAMETERS =
      Set.of("max_concurrent_searches", "max_concurrent_shard_requests");

  /** The supported operations of the API. */
  enum Operation {
    /** One search. */
    SEARCH("_search"),
    /** Several searches in one request. */
    MULTI_SEARCH("_msearch");

    private final String pathSegment;

    Operation(String pathSegment) {
      this.pathSegment = pathSegment;
    }

    private Set<String> supportedParameters() {
      return switch (this) {
        case SEARCH -> SEARCH_PARAMETERS;
        case MULTI_SEARCH -> MULTI_SEARCH_PARAMETERS;
      };
    }
  }

  /** Parses the head of a request; throws SearchException if the operation is not supported. */
  static SearchTarget parse(HttpHead head) {
    String[] pathAndQuery = head.target().split("\\?", 2);
    Operation operation = operation(head.method(), pathAndQuery[0]);
    if (!head.method().equals("POST")) {
      throw new SearchException(
          405, "method_not_allowed", "Incorrect HTTP method, allowed: [POST]");
    }
    List<String> segments = segments(pathAndQuery[0]);
    List<String> indices = segments.size() == 1 ? List.of() : indexNames(decode(segments.get(0)));
    return new SearchTarget(
        operation, indices, parameters(pathAndQuery.length > 1 ? pathAndQuery[1] : ""));
  }

  /** Throws SearchException if the operation does not support one of the parameters. */
  void requireSupportedParameters() {
    Set<String> supported = operation.supportedParameters();
    for (String name : parameters.keySet()) {
      if (!supported.contains(name)) {
        throw SearchException.illegalArgument(
            "request contains unrecognized or unsupported parameter: [" + name + "]");
      }
    }
  }

  /** Returns the idempotency key of a request, or null. */
  static String idempotencyKey(HttpHead head) {
    String key = head.header("Idempotency-Key");
    if (key != null && !IDEMPOTENCY_KEY.matcher(key).matches()) {
      throw SearchException.illegalArgument(
          "Idempotency-Key is not one word of at most 128 characters");
    }
    return key;
  }

  /** Returns the names in a comma-separated list. */
  static List<String> indexNames(String list) {
    return Arrays.stream(list.split(",", -1)).filter(name -> !name.isEmpty()).toList();
  }

  private static List<String> segments(String path) {
    return List.of(path.substring(1).split("/", -1));
  }

  private static Operation operation(String method, String path) {
    List<String> segments = segments(path);
    String last = segments.get(segments.size() - 1);
    for (Operation operation : Operation.values()) {
      if (segments.size() <= 2 && last.equals(operation.pathSegment)) {
        return operation;
      }
    }
    throw SearchException.illegalArgument(
        "no handler found for uri [" + path + "] and method [" + method + "]");
  }

  private static Map<String, String> parameters(String query) {
    Map<String, String> parameters = new LinkedHashMap<>();
    for (String pair : query.split("&", -1)) {
      if (!pair.isEmpty()) {
        String[] nameAndValue = pair.split("=", 2);
        String value = nameAndValue.length > 1 ? nameAndValue[1] : "";
        parameters.put(decode(nameAndValue[0]), decode(value));
      }
    }
    return parameters;
  }

  private static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException exception) {
      throw SearchException.illegalArgument("the address is not encoded as one");
    }
  }
}
