package bitternpulley.opensearch;

import bitternpulley.broker.Effect.Answer;
import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Router.Outcome;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A response of the API.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param retryAfterSeconds the {@code Retry-After} header; 0 for none
 */
record SearchResponse(int status, ObjectNode body, long retryAfterSeconds) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
  private static final double MS_PER_SECOND = 1000;
  private static final long MIN_RETRY_AFTER_SECONDS = 1;

  /**
   * Returns the response for an answer of the broker.
   *
   * @param search the search
   * @param topHits the merged hits of the parts that have arrived
   * @param answer the broker's answer to the search
   * @param elapsedMs ms since the search was received
   */
  static SearchResponse of(Search search, TopHits topHits, Answer answer, double elapsedMs) {
    if (answer instanceof Answer.Answered answered) {
      return answered(search, topHits, answered, elapsedMs);
    }
    if (answer instanceof Answer.InvalidRequest invalid) {
      PartFailure failure = (PartFailure) invalid.reason();
      return error(new SearchException(failure.status(), failure.type(), failure.reason()));
    }
    if (answer instanceof Answer.Rejected rejected) {
      return rejected(search, rejected);
    }
    return failed(search, ((Answer.Failed) answer).finalState());
  }

  /** Returns the response for a search that cannot be answered. */
  static SearchResponse error(SearchException exception) {
    ObjectNode cause =
        JSON.objectNode().put("type", exception.type()).put("reason", exception.getMessage());
    ObjectNode error = JSON.objectNode();
    error.set("root_cause", JSON.arrayNode().add(cause));
    error.setAll(cause);
    ObjectNode body = JSON.objectNode();
    body.set("error", error);
    body.put("status", exception.status());
    long retryAfterSeconds = exception.status() == 429 ? MIN_RETRY_AFTER_SECONDS : 0;
    return new SearchResponse(exception.status(), body, retryAfterSeconds);
  }

  /** Converts this response to an HTTP response. */
  HttpServer.Response toHttp() {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", "application/json; charset=UTF-8");
    if (status == 401) {
      headers.put("WWW-Authenticate", "ApiKey");
    }
    if (retryAfterSeconds > 0) {
      headers.put("Retry-After", String.valueOf(retryAfterSeconds));
    }
    return new HttpServer.Response(status, headers, encodedBody());
  }

  /**
   * Returns the body. It is encoded twice, first to determine its length, because a buffer that
   * grows would occupy several times the heap of a long body.
   */
  private byte[] encodedBody() {
    try {
      LengthCounter counter = new LengthCounter();
      MAPPER.writeValue(counter, body);
      FixedLengthOutput output = new FixedLengthOutput(counter.length());
      MAPPER.writeValue(output, body);
      return output.bytes();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /** Returns a status that invites a retry only if no part of the search can have run. */
  private static SearchResponse rejected(Search search, Answer.Rejected rejected) {
    if (rejected.finalState().mayHaveRun()) {
      return failed(search, rejected.finalState());
    }
    if (rejected.contract() != null) {
      return rejectedByContract(rejected.contract());
    }
    SearchResponse response = error(SearchException.rejected("refused: nothing of it has run"));
    return response.withRetryAfter(
        Math.max(MIN_RETRY_AFTER_SECONDS, roundedUpToSeconds(rejected.retryAfter())));
  }

  private static SearchResponse rejectedByContract(AdmissionDecision.Rejected decision) {
    SearchResponse response =
        error(
            SearchException.rejected(
                "refused by contract ["
                    + decision.team()
                    + "], version ["
                    + decision.version()
                    + "]: ["
                    + decision.limit().text()
                    + "]; nothing of it has run"));
    ((ObjectNode) response.body().get("error"))
        .putObject("contract")
        .put("id", decision.team())
        .put("version", decision.version())
        .put("limit", decision.limit().text())
        .put("retry_after_ms", Math.round(decision.retryAfter()));
    return response.withRetryAfter(roundedUpToSeconds(decision.retryAfter()));
  }

  private SearchResponse withRetryAfter(long seconds) {
    return new SearchResponse(status, body, seconds);
  }

  private static long roundedUpToSeconds(double ms) {
    return (long) Math.ceil(ms / MS_PER_SECOND);
  }

  private static SearchResponse failed(Search search, Answer.FinalState finalState) {
    SearchException exception =
        finalState.timedOut()
            ? new SearchException(504, "timeout_exception", "the search's time is over")
            : new SearchException(500, "search_phase_execution_exception", "all shards failed");
    SearchResponse response = error(exception);
    ObjectNode error = (ObjectNode) response.body().get("error");
    error.put("phase", "query").put("grouped", true);
    error.set("failed_shards", failures(search, finalState.missing()));
    return response;
  }

  private static SearchResponse answered(
      Search search, TopHits topHits, Answer.Answered answer, double elapsedMs) {
    boolean timedOut =
        answer.missing().values().stream().anyMatch(SearchResponse::isMissingForLackOfTime);
    ObjectNode body =
        JSON.objectNode().put("took", Math.round(elapsedMs)).put("timed_out", timedOut);
    body.set("_shards", shards(search, answer));
    body.set("hits", HitMerger.merge(search, topHits, answer.values().values()));
    return new SearchResponse(200, body, 0);
  }

  /**
   * Whether a part is missing for lack of time, that is because its attempt is still in flight,
   * timed out or was cancelled, rather than because its server failed.
   */
  private static boolean isMissingForLackOfTime(Answer.MissingPart part) {
    return part.outcome() == null
        || part.outcome() == Outcome.TIMEOUT
        || part.outcome() == Outcome.CANCELLED;
  }

  private static ObjectNode shards(Search search, Answer.Answered answer) {
    int total = search.parts().size();
    int successful = answer.values().size();
    ObjectNode shards =
        JSON.objectNode()
            .put("total", total)
            .put("successful", successful)
            .put("skipped", 0)
            .put("failed", total - successful);
    if (successful < total) {
      shards.set("failures", failures(search, answer.missing()));
    }
    return shards;
  }

  private static ArrayNode failures(Search search, Map<Integer, Answer.MissingPart> missing) {
    ArrayNode failures = JSON.arrayNode();
    missing.forEach(
        (position, missingPart) ->
            failures.add(failure(search.parts().get(position), missingPart)));
    return failures;
  }

  private static ObjectNode failure(Search.Part part, Answer.MissingPart missingPart) {
    ObjectNode reason = JSON.objectNode();
    if (missingPart.reason() instanceof PartFailure failure) {
      reason.put("type", failure.type()).put("reason", failure.reason());
    } else {
      reason.put("type", "timeout_exception").put("reason", "no answer in time");
    }
    ObjectNode entry =
        JSON.objectNode()
            .put("shard", part.shard())
            .put("index", part.index())
            .put("node", missingPart.server());
    entry.set("reason", reason);
    return entry;
  }
}
