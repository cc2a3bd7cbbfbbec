package bitternpulley.opensearch;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Broker;
import bitternpulley.broker.Dialect;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.Payload;
import bitternpulley.config.StrictJson;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpClient;
import bitternpulley.routing.Router.Outcome;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The way to slot servers that speak the search API: one request for each attempt of a part. */
public final class SearchServers implements Dialect {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final EventLoop loop;
  private final Broker broker;
  private final HttpClient client;
  private final int port;
  private final Map<String, HostPort> addresses = new HashMap<>();

  private record Out(String server, HttpClient.Call call) {}

  private final Map<AttemptId, Out> out = new LinkedHashMap<>();

  public SearchServers(EventLoop loop, Broker broker, HttpClient client, int port) {
    this.loop = loop;
    this.broker = broker;
    this.client = client;
    this.port = port;
  }

  /** Notes the machine of a server; this API has its own port there. */
  public void address(String server, HostPort at) {
    addresses.put(server, new HostPort(at.host(), port));
  }

  /** Drops what is kept for a server that is gone. */
  public void forget(String server) {
    closeIdleConnections(server);
    addresses.remove(server);
  }

  /** Forgets all others. */
  public void keepOnly(Set<String> named) {
    List.copyOf(addresses.keySet()).stream().filter(s -> !named.contains(s)).forEach(this::forget);
  }

  @Override
  public void start(Effect.StartAttempt attempt) {
    HostPort at = addresses.get(attempt.server());
    HttpClient.Call call =
        at == null
            ? null
            : client.send(
                at,
                request(attempt, at),
                attempt.sendBy(),
                new HttpClient.Done() {
                  @Override
                  public void response(HttpClient.Response response) {
                    if (out.remove(attempt.id()) != null) {
                      broker.submit(event(attempt, response));
                    }
                  }

                  @Override
                  public void broken(HttpClient.Broken how, String why) {
                    if (out.remove(attempt.id()) != null) {
                      Outcome as =
                          switch (how) {
                            case MAYBE_SENT -> Outcome.RESET;
                            case NEVER_SENT -> Outcome.UNREACHABLE;
                            case NOT_IN_TIME -> Outcome.NOT_SENT;
                          };
                      broker.submit(
                          new Event.AttemptEnded(
                              attempt.id(),
                              as,
                              new PartHits.Failure(503, "node_not_connected_exception", why)));
                    }
                  }
                });
    if (call == null) {
      loop.execute(
          () -> broker.submit(new Event.AttemptEnded(attempt.id(), Outcome.UNREACHABLE, null)));
    } else {
      out.put(attempt.id(), new Out(attempt.server(), call));
    }
  }

  @Override
  public void cancel(Effect.CancelAttempt attempt) {
    Out left = out.remove(attempt.id());
    if (left != null) {
      left.call().drop();
      broker.submit(new Event.AttemptCancelled(attempt.id()));
    }
  }

  @Override
  public void cancelUnsent(Effect.CancelUnsent attempt) {
    Out left = out.get(attempt.id());
    if (left != null && !left.call().begun()) {
      out.remove(attempt.id());
      left.call().drop();
      loop.execute(
          () -> broker.submit(new Event.AttemptEnded(attempt.id(), Outcome.NOT_SENT, null)));
    }
  }

  @Override
  public void cancelUnsentTo(String server) {
    List<AttemptId> unsent =
        out.entrySet().stream()
            .filter(o -> o.getValue().server().equals(server) && !o.getValue().call().begun())
            .map(Map.Entry::getKey)
            .toList();
    for (AttemptId a : unsent) {
      out.remove(a).call().drop();
      broker.submit(new Event.AttemptEnded(a, Outcome.NOT_SENT, null));
    }
  }

  @Override
  public void reply(Effect.Reply reply) {
    ((Search) reply.request().payload()).done().accept(reply.answer());
  }

  @Override
  public void closeIdleConnections(String server) {
    HostPort at = addresses.get(server);
    if (at != null) {
      client.closeIdle(at);
    }
  }

  private static ByteBuffer request(Effect.StartAttempt attempt, HostPort at) {
    Search search = (Search) attempt.request().payload();
    Search.Part part = search.parts().get(attempt.partIndex());
    ObjectNode body = search.body().deepCopy();
    body.put("timeout", Math.max(1, Math.round(attempt.timeout())) + "ms");
    byte[] text;
    try {
      text = MAPPER.writeValueAsBytes(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    String of = part.index() + "." + part.section();
    String head =
        "POST /"
            + part.index()
            + "/_search?preference=_shards:"
            + part.section()
            + "&allow_partial_search_results=false HTTP/1.1\r\nHost: "
            + at
            + "\r\nContent-Type: application/json\r\n"
            + "X-Opaque-Id: "
            + search.id()
            + "."
            + of
            + "\r\n"
            // A server drops a repeated key, so each part of a search has one of its own, the same
            // at every attempt.
            + (search.token() == null
                ? ""
                : "Idempotency-Key: " + search.token() + "." + of + "\r\n")
            + "Content-Length: "
            + text.length
            + "\r\n\r\n";
    byte[] first = head.getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(first.length + text.length).put(first).put(text).flip();
  }

  private static Event event(Effect.StartAttempt attempt, HttpClient.Response response) {
    AttemptId id = attempt.id();
    JsonNode body;
    try {
      body = StrictJson.read(response.body());
    } catch (IOException e) {
      body = null;
    }
    if (response.status() == 200) {
      boolean totalWanted = ((Search) attempt.request().payload()).trackTotal() >= 0;
      PartHits hits = body == null ? null : PartHits.read(body, totalWanted);
      Payload value =
          hits != null
              ? hits
              : new PartHits.Failure(
                  500, "search_phase_execution_exception", "the server did not answer in whole");
      return new Event.AttemptEnded(id, hits != null ? Outcome.OK : Outcome.ERROR, value);
    }
    JsonNode error = body == null ? MAPPER.missingNode() : body.path("error");
    JsonNode cause =
        error.path("root_cause").path(0).has("type") ? error.path("root_cause").path(0) : error;
    PartHits.Failure failure =
        new PartHits.Failure(
            response.status(),
            cause.path("type").asText("exception"),
            cause.path("reason").asText("status " + response.status()));
    return switch (response.status()) {
      case 400 -> new Event.RequestRejectedByServer(id, failure);
        // Only this rejection proves that nothing has run; a tripped circuit breaker is a 429 too,
        // and proves nothing.
      case 429 ->
          new Event.AttemptEnded(
              id,
              failure.type().endsWith("rejected_execution_exception")
                  ? Outcome.REJECTED
                  : Outcome.ERROR,
              failure);
      default -> new Event.AttemptEnded(id, Outcome.ERROR, failure);
    };
  }
}
