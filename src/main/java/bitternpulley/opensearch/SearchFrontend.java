package bitternpulley.opensearch;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.config.SearchConfiguration;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.net.ClientMemoryBudget;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Serves the OpenSearch-style API, {@code _search} and {@code _msearch}, to HTTP clients. */
public final class SearchFrontend implements HttpServer.Handler {
  private final SearchConfiguration configuration;
  private final TenantResolver tenants;
  private final SearchSubmitter submitter;
  private final Clock clock;
  private final ClientMemoryBudget memoryBudget;

  /**
   * Creates a front end.
   *
   * @param settings the settings of this instance
   * @param configuration the configuration of the API
   * @param broker the broker that answers the searches
   * @param servers sends the parts of the searches
   * @param clock the clock of the broker
   * @param instance the name of this instance
   * @param identification identifies the team of each search by the contracts in force
   * @param memoryBudget bounds the heap that all searches in progress occupy
   */
  public SearchFrontend(
      Settings settings,
      SearchConfiguration configuration,
      Broker broker,
      SearchServers servers,
      Clock clock,
      String instance,
      Supplier<TenantIdentification> identification,
      ClientMemoryBudget memoryBudget) {
    this.memoryBudget = memoryBudget;
    this.configuration = configuration;
    this.clock = clock;
    this.tenants = new TenantResolver(identification);
    this.submitter =
        new SearchSubmitter(
            settings, new SearchDecoder(configuration), tenants, broker, servers, clock, instance);
  }

  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    try {
      SearchTarget target = SearchTarget.parse(request.head());
      SearchCaller caller = caller(request);
      target.requireSupportedParameters();
      switch (target.operation()) {
        case SEARCH -> search(target, caller, request.body(), exchange);
        case MULTI_SEARCH -> multiSearch(target, caller, request.body(), exchange);
      }
    } catch (SearchException exception) {
      exchange.reply(SearchResponse.error(exception).toHttp());
    }
  }

  @Override
  public HttpServer.Response errorResponse(int status, String reason) {
    String type =
        switch (status) {
          case 413 -> "content_too_long_exception";
          case 429 -> SearchException.MEMORY_ERROR_TYPE;
          default -> "illegal_argument_exception";
        };
    return SearchResponse.error(new SearchException(status, type, reason)).toHttp();
  }

  private SearchCaller caller(HttpServer.Request request) {
    String idempotencyKey = SearchTarget.idempotencyKey(request.head());
    return new SearchCaller(
        tenants.keyOwner(request.head()),
        idempotencyKey,
        new Router.Lateness(request.unreadMs(), request.worstLagMs()));
  }

  private void search(
      SearchTarget target, SearchCaller caller, byte[] body, HttpServer.Exchange exchange) {
    SearchMemoryScope memory = new SearchMemoryScope(memoryBudget);
    Runnable disconnectAction =
        submitter.submit(
            target.indices(),
            target.parameters(),
            caller,
            SearchBodies.parseSingle(body),
            memory,
            response -> reply(exchange, response, memory));
    exchange.onDisconnect(
        () -> {
          disconnectAction.run();
          memory.close();
        });
  }

  /** Sends a response; from then on, the connection accounts for it. */
  private static void reply(
      HttpServer.Exchange exchange, SearchResponse response, SearchMemoryScope memory) {
    exchange.reply(response.toHttp());
    memory.close();
  }

  /** Submits the searches of a multi-search, each of which can fail independently. */
  private void multiSearch(
      SearchTarget target, SearchCaller caller, byte[] body, HttpServer.Exchange exchange) {
    List<SearchBodies.Entry> entries = SearchBodies.parseMulti(body, configuration.maxSearches());
    double startedAt = clock.now();
    SearchMemoryScope memory = new SearchMemoryScope(memoryBudget);
    MultiSearchReply reply =
        new MultiSearchReply(
            entries.size(),
            () -> clock.now() - startedAt,
            response -> reply(exchange, response, memory));
    List<Runnable> disconnectActions = new ArrayList<>();
    for (int position = 0; position < entries.size(); position++) {
      disconnectActions.add(submit(entries.get(position), position, target, caller, memory, reply));
    }
    exchange.onDisconnect(
        () -> {
          disconnectActions.forEach(Runnable::run);
          memory.close();
        });
  }

  /** Submits one search of a multi-search; returns the action to run on a client disconnect. */
  private Runnable submit(
      SearchBodies.Entry entry,
      int position,
      SearchTarget target,
      SearchCaller caller,
      SearchMemoryScope memory,
      MultiSearchReply reply) {
    try {
      return submitter.submit(
          entry.indicesOr(target.indices()),
          entry.parameters(),
          caller.forSearch(position),
          entry.body(),
          memory,
          response -> reply.add(position, response));
    } catch (SearchException exception) {
      reply.add(position, SearchResponse.error(exception));
      return () -> {};
    }
  }
}
