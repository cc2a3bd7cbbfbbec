package bitternpulley.opensearch;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.config.StrictJson;
import bitternpulley.net.HttpClient;
import bitternpulley.routing.Router.Outcome;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.util.Optional;

/** Decodes a server's response to an attempt. */
final class PartResponseDecoder {
  /** Longer texts of errors are cut, because they are kept until the search is answered. */
  private static final int MAX_TEXT_LENGTH = 2000;

  private PartResponseDecoder() {}

  /** Returns the event that reports the end of the attempt. */
  static Event decode(Effect.StartAttempt attempt, HttpClient.Response response) {
    if (response.status() == 200) {
      return successEvent(attempt, response.body());
    }
    PartFailure failure = failure(response.status(), body(response).path("error"));
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

  /** Merges the hits of the part into its search. */
  private static Event successEvent(Effect.StartAttempt attempt, byte[] body) {
    PendingSearch pending = PendingSearch.of(attempt);
    Optional<PartHits> hits = PartHits.read(body, pending.search().countsTotalHits());
    if (hits.isEmpty()) {
      return new Event.AttemptEnded(attempt.id(), Outcome.ERROR, PartFailure.incomplete());
    }
    pending.merge(attempt.partIndex(), hits.get());
    return new Event.AttemptEnded(attempt.id(), Outcome.OK, hits.get().total());
  }

  private static PartFailure failure(int status, JsonNode error) {
    JsonNode rootCause = error.path("root_cause").path(0);
    JsonNode cause = rootCause.has("type") ? rootCause : error;
    return new PartFailure(
        status,
        shortened(cause.path("type").asText("exception")),
        shortened(cause.path("reason").asText("status " + status)));
  }

  private static String shortened(String text) {
    return text.substring(0, Math.min(MAX_TEXT_LENGTH, text.length()));
  }

  /**
   * Whether the failure proves that the server ran nothing of the part. A tripped circuit breaker
   * has status 429 as well, but does not prove this.
   */
  private static boolean isRejection(PartFailure failure) {
    return failure.status() == 429 && failure.type().endsWith("rejected_execution_exception");
  }
}
