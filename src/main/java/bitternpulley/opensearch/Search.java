package bitternpulley.opensearch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A decoded search.
 *
 * @param id tells it from others in the servers' logs
 * @param parts its parts, one for each shard of each index
 * @param queryClass the position of its query class in the settings
 * @param from how many of the merged hits are skipped
 * @param size how many of the merged hits are returned
 * @param timeoutMs the client's timeout in ms; negative if it gave none
 * @param allowsPartialResults whether it may be answered from some of its parts
 * @param totalHitsLimit the number up to which matches are counted; negative to count none
 * @param idempotencyKey the client's idempotency key, or null
 * @param body the body that each part is sent with, except for its timeout
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
