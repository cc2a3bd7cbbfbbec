package bitternpulley.opensearch;

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
 * @param body the request body for each part as JSON text, without the timeout; as a tree of nodes
 *     it would occupy many times its length
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a defensive copy would cost time.
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
    byte[] body) {

  /** One shard of one index. */
  record Part(String index, int shard) {}

  /** The number of best hits that are needed to answer the search. */
  int windowSize() {
    return from + size;
  }

  /** Whether the client gave a timeout. */
  boolean hasTimeout() {
    return timeoutMs >= 0;
  }

  /** Whether matches are counted. */
  boolean countsTotalHits() {
    return totalHitsLimit >= 0;
  }
}
