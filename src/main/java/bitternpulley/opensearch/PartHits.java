package bitternpulley.opensearch;

import bitternpulley.broker.Payload;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.stream.StreamSupport;

/**
 * What one part of a search brought: its hits in order, and how many match (-1 where it does not
 * say).
 */
record PartHits(long total, boolean exact, List<JsonNode> hits) implements Payload {

  /** Why a part failed, as its server put it. */
  record Failure(int status, String type, String reason) implements Payload {}

  /**
   * Reads a server's answer to a part; null where it is not an answer from the whole of it, its
   * total included.
   */
  static PartHits read(JsonNode in, boolean totalWanted) {
    JsonNode hits = in.path("hits");
    JsonNode shards = in.path("_shards");
    // Guards against passing off less as the whole: a part that its server cut short has failed.
    if (in.path("timed_out").asBoolean(false)
        || shards.path("failed").asInt(0) > 0
        || in.path("terminated_early").asBoolean(false)
        || !hits.path("hits").isArray()) {
      return null;
    }
    for (JsonNode hit : hits.path("hits")) {
      if (!hit.path("_score").isNumber()) {
        return null;
      }
    }
    JsonNode total = hits.path("total");
    JsonNode value = total.isObject() ? total.path("value") : total;
    if (totalWanted && !value.isIntegralNumber()) {
      return null;
    }
    return new PartHits(
        value.isIntegralNumber() ? value.longValue() : -1,
        !"gte".equals(total.path("relation").asText("eq")),
        StreamSupport.stream(hits.path("hits").spliterator(), false).toList());
  }
}
