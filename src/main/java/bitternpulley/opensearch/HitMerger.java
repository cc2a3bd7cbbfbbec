package bitternpulley.opensearch;

import bitternpulley.broker.Payload;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;

/** Encodes the merged hits of the parts of a search. */
final class HitMerger {
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private HitMerger() {}

  /**
   * Returns the {@code hits} object of a response.
   *
   * @param search the search
   * @param topHits the best hits of the answered parts
   * @param partTotals the totals of the answered parts
   */
  static ObjectNode merge(Search search, TopHits topHits, Collection<Payload> partTotals) {
    ObjectNode hits = JSON.objectNode();
    if (search.countsTotalHits()) {
      hits.set("total", total(search.totalHitsLimit(), partTotals));
    }
    hits.set("max_score", maxScore(topHits));
    ArrayNode window = JSON.arrayNode();
    topHits.from(search.from()).forEach(window::addPOJO);
    hits.set("hits", window);
    return hits;
  }

  private static JsonNode maxScore(TopHits topHits) {
    return topHits.maxScore().isEmpty()
        ? JSON.nullNode()
        : JSON.numberNode(topHits.maxScore().getAsDouble());
  }

  private static ObjectNode total(long limit, Collection<Payload> partTotals) {
    long total = 0;
    boolean isExact = true;
    for (Payload payload : partTotals) {
      PartTotal partTotal = (PartTotal) payload;
      total += Math.max(0, partTotal.value());
      isExact &= partTotal.isExact();
    }
    boolean exceedsLimit = total > limit;
    return JSON.objectNode()
        .put("value", exceedsLimit ? limit : total)
        .put("relation", isExact && !exceedsLimit ? "eq" : "gte");
  }
}
