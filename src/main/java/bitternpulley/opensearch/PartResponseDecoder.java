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

  /** The event by which the attempt ends. */
  static Event decode(Effect.StartAttempt attempt, HttpClient.Response response) {
    JsonNode body = body(response);
    if (response.status() == 200) {
      return successful(attempt, body);
    }
    PartFailure failure = failure(response.status(), body.path("error"));
    if (response.status() == 400) {
      return new Event.RequestRejectedByServer(attempt.id(), failure);
    }
    Outcome outcome = isRejection(failure) ? Outcome.REJECTED : Outcome.ERROR;
    return new Event.AttemptEnded(attempt.id(), outcome, failure);
  }

  /** The JSON body; a missing node if it is none. */
  private static JsonNode body(HttpClient.Response response) {
    try {
      return StrictJson.read(response.body());
    } catch (IOException exception) {
      return MissingNode.getInstance();
    }
  }

  private static Event successful(Effect.StartAttempt attempt, JsonNode body) {
    boolean needsTotal = PendingSearch.of(attempt).countsTotalHits();
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
   * Whether the failure proves that nothing of the part has run. A tripped circuit breaker is a 429
   * too, but proves nothing.
   */
  private static boolean isRejection(PartFailure failure) {
    return failure.status() == 429 && failure.type().endsWith("rejected_execution_exception");
  }
}
