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
  private int missing;

  /**
   * Creates a reply without responses.
   *
   * @param count the number of searches
   * @param elapsedMs ms since the request was received
   * @param onComplete receives the joint response once
   */
  MultiSearchReply(int count, DoubleSupplier elapsedMs, Consumer<SearchResponse> onComplete) {
    this.responses = new SearchResponse[count];
    this.elapsedMs = elapsedMs;
    this.onComplete = onComplete;
    this.missing = count;
  }

  /** Adds the response of one search; the last one completes the reply. */
  void add(int position, SearchResponse response) {
    responses[position] = response;
    missing--;
    if (missing == 0) {
      onComplete.accept(jointResponse());
    }
  }

  private SearchResponse jointResponse() {
    ObjectNode body =
        JsonNodeFactory.instance.objectNode().put("took", Math.round(elapsedMs.getAsDouble()));
    ArrayNode list = body.putArray("responses");
    long retryAfterSeconds = 0;
    for (SearchResponse response : responses) {
      list.add(response.body().put("status", response.status()));
      retryAfterSeconds = Math.max(retryAfterSeconds, response.retryAfterSeconds());
    }
    return new SearchResponse(200, body, retryAfterSeconds);
  }
}
