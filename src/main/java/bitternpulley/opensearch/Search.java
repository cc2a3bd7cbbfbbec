package bitternpulley.opensearch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A decoded search.
 *
 * @param id identifies the search in the servers' logs
 * @param parts the parts, one for each searched shard of each index
 * @param queryClass the position of the query class in the settings
 * @param from the number of merged hits to skip
 * @param size the number of merged hits to return after the skipped ones
 * @param timeoutMs the client's timeout in ms; negative if the client gave none
 * @param allowsPartialResults whether a partial answer is allowed
 * @param totalHitsLimit the number up to which matches are counted; negative for no count
 * @param idempotencyKey the client's idempotency key, or null
 * @param body the request body for each part, without the timeout
 */
record Search(
    String id,
    List<Part> parts,
    int queryClass,
    int from,
    int size,
    double timeoutMs,
    boolean allowsPartialResults,
    long totalHitsLimit,
    String idempotencyKey,
    ObjectNode body) {

  /** One shard of one index. */
  record Part(String index, int shard) {}

  /** Whether the client gave a timeout. */
  boolean hasTimeout() {
    return timeoutMs >= 0;
  }

  /** Whether matches are counted. */
  boolean countsTotalHits() {
    return totalHitsLimit >= 0;
  }
}
