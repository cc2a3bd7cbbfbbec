package bitternpulley.opensearch;

import bitternpulley.broker.Payload;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Merges the hits of the parts of a search into one list. */
final class HitMerger {
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  /**
   * Descending score; ties are broken by part, then by position within the part, so that the order
   * is deterministic.
   */
  private static final Comparator<RankedHit> RANKING =
      Comparator.comparingDouble((RankedHit hit) -> -hit.score())
          .thenComparingInt(RankedHit::partIndex)
          .thenComparingInt(RankedHit::position);

  private HitMerger() {}

  private record RankedHit(double score, int partIndex, int position, JsonNode document) {}

  /**
   * Returns the {@code hits} object of a response.
   *
   * @param search the search
   * @param answeredParts the hits of each answered part, by position of the part in the search
   */
  static ObjectNode merge(Search search, Map<Integer, Payload> answeredParts) {
    List<RankedHit> ranked = rank(answeredParts);
    ObjectNode hits = JSON.objectNode();
    if (search.countsTotalHits()) {
      hits.set("total", total(search.totalHitsLimit(), answeredParts));
    }
    hits.set("max_score", maxScore(ranked));
    ArrayNode window = JSON.arrayNode();
    ranked.stream()
        .skip(search.from())
        .limit(search.size())
        .forEach(hit -> window.add(hit.document()));
    hits.set("hits", window);
    return hits;
  }

  private static List<RankedHit> rank(Map<Integer, Payload> answeredParts) {
    List<RankedHit> ranked = new ArrayList<>();
    for (Map.Entry<Integer, Payload> answeredPart : answeredParts.entrySet()) {
      int position = 0;
      for (JsonNode hit : ((PartHits) answeredPart.getValue()).hits()) {
        double score = hit.path("_score").doubleValue();
        ranked.add(new RankedHit(score, answeredPart.getKey(), position, hit));
        position++;
      }
    }
    ranked.sort(RANKING);
    return ranked;
  }

  private static JsonNode maxScore(List<RankedHit> ranked) {
    return ranked.isEmpty() ? JSON.nullNode() : JSON.numberNode(ranked.get(0).score());
  }

  private static ObjectNode total(long limit, Map<Integer, Payload> answeredParts) {
    long total = 0;
    boolean isExact = true;
    for (Payload answeredPart : answeredParts.values()) {
      PartHits part = (PartHits) answeredPart;
      total += Math.max(0, part.total());
      isExact &= part.isExact();
    }
    boolean exceedsLimit = total > limit;
    return JSON.objectNode()
        .put("value", exceedsLimit ? limit : total)
        .put("relation", isExact && !exceedsLimit ? "eq" : "gte");
  }
}
