package bitternpulley.opensearch;

import bitternpulley.broker.Effect.Answer;
import bitternpulley.broker.Payload;
import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.routing.Router.Outcome;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** A search's answer in the API's shape; {@code retryAfter} in whole seconds, or 0. */
record SearchResponse(int status, ObjectNode body, long retryAfter) {
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  /** Words the core's answer to a search that took so many ms. */
  static SearchResponse of(Search search, Answer answer, double took) {
    if (answer instanceof Answer.Answered a) {
      return answered(search, a, took);
    }
    if (answer instanceof Answer.InvalidRequest f) {
      PartHits.Failure why = (PartHits.Failure) f.reason();
      return error(new SearchException(why.status(), why.type(), why.reason()));
    }
    if (answer instanceof Answer.Rejected r && !r.ending().mayHaveRun()) {
      if (r.contract() != null) {
        return exceeded(r);
      }
      SearchResponse refusal =
          error(
              new SearchException(
                  429, "rejected_execution_exception", "refused: nothing of it has run"));
      return new SearchResponse(
          429, refusal.body(), Math.max(1, (long) Math.ceil(r.retryAfter() / 1000)));
    }
    // Guards against a status that invites another try of work that may have run, whoever gave it
    // up.
    Answer.Ending ending =
        answer instanceof Answer.Rejected r ? r.ending() : ((Answer.Failed) answer).ending();
    SearchResponse failed =
        ending.late()
            ? error(new SearchException(504, "timeout_exception", "the search's time is over"))
            : error(
                new SearchException(500, "search_phase_execution_exception", "all shards failed"));
    ObjectNode error = (ObjectNode) failed.body().get("error");
    error.put("phase", "query").put("grouped", true);
    error.set("failed_shards", failures(search, ending.missing()));
    return failed;
  }

  /**
   * Refused by a contract: which, and what was met; the time to come back only where a place is
   * kept.
   */
  private static SearchResponse exceeded(Answer.Rejected r) {
    AdmissionDecision.Rejected no = r.contract();
    SearchResponse refusal =
        error(
            new SearchException(
                429,
                "rejected_execution_exception",
                "refused by contract ["
                    + no.team()
                    + "], version ["
                    + no.version()
                    + "]: ["
                    + no.limit().text()
                    + "]; nothing of it has run"));
    ((ObjectNode) refusal.body().get("error"))
        .putObject("contract")
        .put("id", no.team())
        .put("version", no.version())
        .put("limit", no.limit().text())
        .put("retry_after_ms", Math.round(no.retryAfter()));
    return new SearchResponse(429, refusal.body(), (long) Math.ceil(no.retryAfter() / 1000));
  }

  /** An error body. */
  static SearchResponse error(SearchException e) {
    ObjectNode cause = JSON.objectNode().put("type", e.type()).put("reason", e.getMessage());
    ObjectNode error = JSON.objectNode();
    error.set("root_cause", JSON.arrayNode().add(cause));
    error.setAll(cause);
    ObjectNode body = JSON.objectNode();
    body.set("error", error);
    body.put("status", e.status());
    return new SearchResponse(e.status(), body, 0);
  }

  private static SearchResponse answered(Search search, Answer.Answered answer, double took) {
    int parts = search.parts().size();
    int in = answer.values().size();
    // A part still out, or given up for its time, was cut off by time; one whose server failed it
    // was not.
    boolean timedOut =
        answer.missing().values().stream()
            .anyMatch(
                m ->
                    m.outcome() == null
                        || m.outcome() == Outcome.TIMEOUT
                        || m.outcome() == Outcome.CANCELLED);
    ObjectNode shards =
        JSON.objectNode()
            .put("total", parts)
            .put("successful", in)
            .put("skipped", 0)
            .put("failed", parts - in);
    if (in < parts) {
      shards.set("failures", failures(search, answer.missing()));
    }
    ObjectNode body = JSON.objectNode().put("took", Math.round(took)).put("timed_out", timedOut);
    body.set("_shards", shards);
    body.set("hits", hits(search, answer.values()));
    return new SearchResponse(200, body, 0);
  }

  private record Ranked(double score, int part, int place, JsonNode hit) {}

  /**
   * One top-k: by score, ties by the order of parts and the order within each, which is the same
   * every time.
   */
  private static ObjectNode hits(Search search, Map<Integer, Payload> values) {
    List<Ranked> ranked = new ArrayList<>();
    long total = 0;
    boolean exact = true;
    for (Map.Entry<Integer, Payload> e : values.entrySet()) {
      PartHits part = (PartHits) e.getValue();
      total += Math.max(0, part.total());
      exact &= part.exact();
      int place = 0;
      for (JsonNode hit : part.hits()) {
        ranked.add(new Ranked(hit.path("_score").doubleValue(), e.getKey(), place++, hit));
      }
    }
    ranked.sort(
        Comparator.comparingDouble((Ranked r) -> -r.score())
            .thenComparingInt(Ranked::part)
            .thenComparingInt(Ranked::place));
    ObjectNode hits = JSON.objectNode();
    if (search.trackTotal() >= 0) {
      boolean over = total > search.trackTotal();
      hits.set(
          "total",
          JSON.objectNode()
              .put("value", over ? search.trackTotal() : total)
              .put("relation", exact && !over ? "eq" : "gte"));
    }
    hits.set(
        "max_score", ranked.isEmpty() ? JSON.nullNode() : JSON.numberNode(ranked.get(0).score()));
    ArrayNode list = JSON.arrayNode();
    ranked.stream().skip(search.from()).limit(search.size()).forEach(r -> list.add(r.hit()));
    hits.set("hits", list);
    return hits;
  }

  private static ArrayNode failures(Search search, Map<Integer, Answer.MissingPart> missing) {
    ArrayNode list = JSON.arrayNode();
    missing.forEach(
        (slice, m) -> {
          Search.Part part = search.parts().get(slice);
          ObjectNode failure =
              JSON.objectNode()
                  .put("shard", part.section())
                  .put("index", part.index())
                  .put("node", m.server());
          PartHits.Failure told = m.reason() instanceof PartHits.Failure f ? f : null;
          ObjectNode reason = JSON.objectNode();
          reason.put("type", told != null ? told.type() : "timeout_exception");
          reason.put("reason", told != null ? told.reason() : "no answer in time");
          failure.set("reason", reason);
          list.add(failure);
        });
    return list;
  }
}
