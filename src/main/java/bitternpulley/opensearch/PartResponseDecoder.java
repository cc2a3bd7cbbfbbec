package bitternpulley.opensearch;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.config.StrictJson;
import bitternpulley.net.HttpClient;
import bitternpulley.routing.Router.Outcome;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;

/** Decodes a server's response to an attempt. */
final class PartResponseDecoder {
  private PartResponseDecoder() {}

  /** Returns the event that reports the end of the attempt. */
  static Event decode(Effect.StartAttempt attempt, HttpClient.Response response) {
    JsonNode body = body(response);
    if (response.status() == 200) {
      return successEvent(attempt, body);
    }
    PartFailure failure = failure(response.status(), body.path("error"));
    if (response.status() == 400) {
      return new Event.RequestRejectedByServer(attempt.id(), failure);
    }
    Outcome outcome = isRejection(failure) ? Outcome.REJECTED : Outcome.ERROR;
    return new Event.AttemptEnded(attempt.id(), outcome, failure);
  }

  /** Returns the JSON body, or a missing node if the body is not JSON. */
  private static JsonNode body(HttpClient.Response response) {
    try {
      return StrictJson.read(response.body());
    } catch (IOException exception) {
      return MissingNode.getInstance();
    }
  }

  private static Event successEvent(Effect.StartAttempt attempt, JsonNode body) {
    boolean needsTotal = PendingSearch.searchOf(attempt).countsTotalHits();
    return PartHits.read(body, needsTotal)
        .map(hits -> new Event.AttemptEnded(attempt.id(), Outcome.OK, hits))
        .orElseGet(
            () -> new Event.AttemptEnded(attempt.id(), Outcome.ERROR, PartFailure.incomplete()));
  }

  private static PartFailure failure(int status, JsonNode error) {
    JsonNode rootCause = error.path("root_cause").path(0);
    JsonNode cause = rootCause.has("type") ? rootCause : error;
    return new PartFailure(
        status,
        cause.path("type").asText("exception"),
        cause.path("reason").asText("status " + status));
  }

  /**
   * Whether the failure proves that the server ran nothing of the part. A tripped circuit breaker
   * has status 429 as well, but does not prove this.
   */
  private static boolean isRejection(PartFailure failure) {
    return failure.status() == 429 && failure.type().endsWith("rejected_execution_exception");
  }
}
