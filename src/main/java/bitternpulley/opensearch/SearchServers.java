package bitternpulley.opensearch;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Broker;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.ProtocolAdapter;
import bitternpulley.config.SearchConfiguration;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpClient;
import bitternpulley.routing.Router.Outcome;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sends attempts, one HTTP request each, to slot servers that offer the search API, and delivers
 * the answers to searches.
 */
public final class SearchServers implements ProtocolAdapter {
  private final EventLoop loop;
  private final Broker broker;
  private final HttpClient client;
  private final int port;
  private final PartSizeEstimates partSizes;
  private final Map<String, HostPort> addresses = new HashMap<>();
  private final Map<AttemptId, InFlightAttempt> inFlight = new LinkedHashMap<>();

  private record InFlightAttempt(String server, HttpClient.Call call, AttemptListener listener) {
    void cancel() {
      call.cancel();
      listener.received();
    }

    boolean isUnsent() {
      return !call.mayHaveBeenSent();
    }

    boolean isUnsentTo(String serverId) {
      return server.equals(serverId) && isUnsent();
    }
  }

  /**
   * Creates an instance that knows no servers yet.
   *
   * @param loop the event loop; all methods are called on its thread
   * @param broker receives an event at the end of each attempt
   * @param client the HTTP client, with the connections to the servers
   * @param configuration the configuration of the API
   */
  public SearchServers(
      EventLoop loop, Broker broker, HttpClient client, SearchConfiguration configuration) {
    this.loop = loop;
    this.broker = broker;
    this.client = client;
    this.port = configuration.serverPort();
    this.partSizes = new PartSizeEstimates(configuration.maxPartBytes());
  }

  /** Returns the length in bytes that the answer to a part of a search is expected to have. */
  long expectedPartBytes(Search search) {
    return (long)
        search.parts().stream()
            .mapToLong(part -> partSizes.expectedBytes(part.index(), search.windowSize()))
            .average()
            .orElseThrow();
  }

  /** Records the host of a server; the port of the given address is not used. */
  public void setAddress(String server, HostPort address) {
    addresses.put(server, new HostPort(address.host(), port));
  }

  /** Removes a server that no longer exists and closes the idle connections to it. */
  public void removeServer(String server) {
    closeIdleConnections(server);
    addresses.remove(server);
  }

  /** Removes all servers but the given ones. */
  public void retainOnly(Set<String> servers) {
    List.copyOf(addresses.keySet()).stream()
        .filter(server -> !servers.contains(server))
        .forEach(this::removeServer);
  }

  @Override
  public void start(Effect.StartAttempt attempt) {
    HostPort address = addresses.get(attempt.server());
    AttemptListener listener = new AttemptListener(attempt);
    HttpClient.Call call = address == null ? null : send(attempt, address, listener);
    if (call == null) {
      submitDeferred(new Event.AttemptEnded(attempt.id(), Outcome.UNREACHABLE, null));
    } else {
      inFlight.put(attempt.id(), new InFlightAttempt(attempt.server(), call, listener));
    }
  }

  /** Sends an attempt; null if no more connections can be opened. */
  private HttpClient.Call send(
      Effect.StartAttempt attempt, HostPort address, AttemptListener listener) {
    HttpClient.Request request =
        new HttpClient.Request(
            PartRequestEncoder.encode(attempt, address),
            attempt.sendBy(),
            PartRequestEncoder.responseMatcher(attempt));
    return client.send(address, request, listener);
  }

  /** Reports the end of one attempt to the broker, unless the attempt was already cancelled. */
  private final class AttemptListener implements HttpClient.ResponseHandler {
    private final Effect.StartAttempt attempt;

    AttemptListener(Effect.StartAttempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public void receiving(int heldBytes) {
      PendingSearch.of(attempt).memory().receiving(attempt.partIndex(), heldBytes);
    }

    /** Records that nothing more is received. */
    private void received() {
      PendingSearch.of(attempt).memory().receiving(attempt.partIndex(), 0);
    }

    @Override
    public void response(HttpClient.Response response) {
      received();
      if (inFlight.remove(attempt.id()) != null) {
        recordSize(response.body().length);
        broker.submit(PartResponseDecoder.decode(attempt, response));
      }
    }

    private void recordSize(int bytes) {
      Search search = PendingSearch.of(attempt).search();
      String index = search.parts().get(attempt.partIndex()).index();
      partSizes.record(index, search.windowSize(), bytes);
    }

    @Override
    public void failed(HttpClient.Failure failure, String reason) {
      received();
      if (inFlight.remove(attempt.id()) != null) {
        broker.submit(
            new Event.AttemptEnded(
                attempt.id(), outcome(failure), PartFailure.notConnected(reason)));
      }
    }

    private static Outcome outcome(HttpClient.Failure failure) {
      return switch (failure) {
        case MAYBE_SENT -> Outcome.RESET;
        case NEVER_SENT -> Outcome.UNREACHABLE;
        case NOT_IN_TIME -> Outcome.NOT_SENT;
      };
    }
  }

  /** Submits an event at the end of the current turn of the event loop. */
  private void submitDeferred(Event event) {
    loop.execute(() -> broker.submit(event));
  }

  @Override
  public void cancel(Effect.CancelAttempt attempt) {
    InFlightAttempt cancelled = inFlight.remove(attempt.id());
    if (cancelled != null) {
      cancelled.cancel();
      broker.submit(new Event.AttemptCancelled(attempt.id()));
    }
  }

  @Override
  public void cancelUnsent(Effect.CancelUnsent attempt) {
    InFlightAttempt candidate = inFlight.get(attempt.id());
    if (candidate != null && candidate.isUnsent()) {
      inFlight.remove(attempt.id());
      candidate.cancel();
      submitDeferred(new Event.AttemptEnded(attempt.id(), Outcome.NOT_SENT, null));
    }
  }

  @Override
  public void cancelUnsentTo(String server) {
    List<AttemptId> unsent =
        inFlight.entrySet().stream()
            .filter(entry -> entry.getValue().isUnsentTo(server))
            .map(Map.Entry::getKey)
            .toList();
    for (AttemptId attempt : unsent) {
      inFlight.remove(attempt).cancel();
      broker.submit(new Event.AttemptEnded(attempt, Outcome.NOT_SENT, null));
    }
  }

  @Override
  public void reply(Effect.Reply reply) {
    ((PendingSearch) reply.request().payload()).onAnswer().accept(reply.answer());
  }

  @Override
  public void closeIdleConnections(String server) {
    HostPort address = addresses.get(server);
    if (address != null) {
      client.closeIdle(address);
    }
  }
}
