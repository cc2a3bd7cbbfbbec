package bitternpulley.opensearch;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** Collects the responses of a multi-search, in the order of its searches. */
final class MultiSearchReply {
  private final SearchResponse[] responses;
  private final DoubleSupplier elapsedMs;
  private final Consumer<SearchResponse> onComplete;
  private int remaining;

  /**
   * Creates a reply that waits for the responses of all searches.
   *
   * @param searchCount the number of searches
   * @param elapsedMs ms since the request was received
   * @param onComplete called once, with the combined response
   */
  MultiSearchReply(int searchCount, DoubleSupplier elapsedMs, Consumer<SearchResponse> onComplete) {
    this.responses = new SearchResponse[searchCount];
    this.elapsedMs = elapsedMs;
    this.onComplete = onComplete;
    this.remaining = searchCount;
  }

  /** Adds the response of one search; the last one completes the reply. */
  void add(int position, SearchResponse response) {
    responses[position] = response;
    remaining--;
    if (remaining == 0) {
      onComplete.accept(combinedResponse());
    }
  }

  private SearchResponse combinedResponse() {
    ObjectNode body =
        JsonNodeFactory.instance.objectNode().put("took", Math.round(elapsedMs.getAsDouble()));
    ArrayNode responseBodies = body.putArray("responses");
    long retryAfterSeconds = 0;
    for (SearchResponse response : responses) {
      responseBodies.add(response.body().put("status", response.status()));
      retryAfterSeconds = Math.max(retryAfterSeconds, response.retryAfterSeconds());
    }
    return new SearchResponse(200, body, retryAfterSeconds);
  }
}
