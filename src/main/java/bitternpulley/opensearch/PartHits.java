package bitternpulley.opensearch;

import bitternpulley.broker.Payload;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.stream.StreamSupport;

/**
 * The hits of one part.
 *
 * @param total the number of matching documents; -1 if the server does not report it
 * @param isExact whether the total is exact; otherwise it is a lower bound
 * @param hits the best hits, in the order of the server's answer
 */
record PartHits(long total, boolean isExact, List<JsonNode> hits) implements Payload {
  private static final long UNKNOWN_TOTAL = -1;

  /**
   * Reads a server's answer to a part.
   *
   * @param answer the body of the answer
   * @param needsTotal whether an answer without a total is incomplete
   * @return the hits; empty if the answer does not cover the whole part or its hits have no scores
   */
  static Optional<PartHits> read(JsonNode answer, boolean needsTotal) {
    JsonNode hits = answer.path("hits");
    if (isIncomplete(answer) || !areMergeable(hits.path("hits"))) {
      return Optional.empty();
    }
    JsonNode total = hits.path("total");
    JsonNode value = total.isObject() ? total.path("value") : total;
    if (needsTotal && !value.isIntegralNumber()) {
      return Optional.empty();
    }
    return Optional.of(
        new PartHits(
            value.isIntegralNumber() ? value.longValue() : UNKNOWN_TOTAL,
            !"gte".equals(total.path("relation").asText("eq")),
            StreamSupport.stream(hits.path("hits").spliterator(), false).toList()));
  }

  private static boolean isIncomplete(JsonNode answer) {
    return answer.path("timed_out").asBoolean(false)
        || answer.path("_shards").path("failed").asInt(0) > 0
        || answer.path("terminated_early").asBoolean(false);
  }

  private static boolean areMergeable(JsonNode hits) {
    if (!hits.isArray()) {
      return false;
    }
    for (JsonNode hit : hits) {
      if (!hit.path("_score").isNumber()) {
        return false;
      }
    }
    return true;
  }
}
