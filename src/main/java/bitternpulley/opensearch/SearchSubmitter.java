package bitternpulley.opensearch;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Event;
import bitternpulley.broker.Request;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Decodes searches and submits them to the broker. */
final class SearchSubmitter {
  private final Settings settings;
  private final SearchDecoder decoder;
  private final TenantResolver tenants;
  private final Broker broker;
  private final SearchServers servers;
  private final Clock clock;
  private final String instance;

  /**
   * Creates a submitter.
   *
   * @param settings the settings of this instance
   * @param decoder decodes the searches
   * @param tenants identifies the teams of the searches
   * @param broker the broker that answers the searches
   * @param servers sends the parts
   * @param clock the clock of the broker
   * @param instance the name of this instance, with which each search id begins
   */
  SearchSubmitter(
      Settings settings,
      SearchDecoder decoder,
      TenantResolver tenants,
      Broker broker,
      SearchServers servers,
      Clock clock,
      String instance) {
    this.settings = settings;
    this.decoder = decoder;
    this.tenants = tenants;
    this.broker = broker;
    this.servers = servers;
    this.clock = clock;
    this.instance = instance;
  }

  /**
   * Submits a search.
   *
   * @param indexNames the indices to search; if empty, all configured indices
   * @param parameters the parameters given in the URL or, for a multi-search, in the header line
   * @param caller the sender of the search
   * @param body the body
   * @param scope the memory of the HTTP request that the search belongs to
   * @param onResponse called once, with the response
   * @return the action to run when the client disconnects
   * @throws SearchException if the search cannot be answered; nothing is submitted then
   */
  Runnable submit(
      List<String> indexNames,
      Map<String, String> parameters,
      SearchCaller caller,
      JsonNode body,
      SearchMemoryScope scope,
      Consumer<SearchResponse> onResponse) {
    long id = broker.nextRequestId();
    double startedAt = clock.now();
    Search search =
        decoder.decode(instance + "-" + id, caller.idempotencyKey(), indexNames, parameters, body);
    validate(search);
    SearchMemory memory =
        scope.open(
            search,
            servers.expectedPartBytes(search),
            () -> cancelTooLarge(id, search, scope.maxBytes(), onResponse));
    TopHits topHits = new TopHits(search.windowSize());
    PendingSearch pending =
        new PendingSearch(
            search,
            topHits,
            memory,
            answer -> {
              memory.answered();
              onResponse.accept(
                  SearchResponse.of(search, topHits, answer, clock.now() - startedAt));
            });
    broker.submit(new Event.RequestReceived(request(id, pending, caller)));
    return () -> broker.submit(new Event.ClientDisconnected(id));
  }

  /** Cancels a search whose parts occupy too much memory, and responds. */
  private void cancelTooLarge(
      long id, Search search, long maxBytes, Consumer<SearchResponse> onResponse) {
    broker.submit(new Event.ClientDisconnected(id));
    boolean mayRetry = queryClass(search).idempotency() == Settings.Idempotency.IDEMPOTENT;
    onResponse.accept(
        SearchResponse.error(
            mayRetry
                ? SearchException.tooLarge(maxBytes)
                : SearchException.tooLargeAfterStart(maxBytes)));
  }

  private Settings.QueryClass queryClass(Search search) {
    return settings.classes().get(search.queryClass());
  }

  private void validate(Search search) {
    Settings.QueryClass queryClass = queryClass(search);
    if (queryClass.idempotency() == Settings.Idempotency.KEYED && search.idempotencyKey() == null) {
      throw SearchException.illegalArgument(
          "class [" + queryClass.name() + "] needs an Idempotency-Key header");
    }
    // The broker would reject a search with too many parts with a status that invites a retry, but
    // no retry can succeed.
    int maxParts = settings.limits().maxPending() - 1;
    int partCount = search.parts().size();
    if (partCount > maxParts) {
      throw SearchException.illegalArgument(
          "Trying to query " + partCount + " shards, which is over the limit of " + maxParts);
    }
  }

  private Request request(long id, PendingSearch pending, SearchCaller caller) {
    Search search = pending.search();
    return new Request(
        id,
        servers,
        search.queryClass(),
        timeLeftMs(search),
        false,
        new Router.Terms(!search.allowsPartialResults(), search.hasTimeout()),
        queryParts(search.parts()),
        pending,
        tenants.team(caller.keyOwner(), search.parts()),
        tenants.fingerprint(search),
        caller.lateness());
  }

  private double timeLeftMs(Search search) {
    double deadline = queryClass(search).deadline();
    return search.hasTimeout() ? Math.min(search.timeoutMs(), deadline) : deadline;
  }

  private static List<Request.QueryPart> queryParts(List<Search.Part> parts) {
    double weight = 1.0 / parts.size();
    return parts.stream().map(part -> new Request.QueryPart(part.shard(), weight, 0)).toList();
  }
}
