package bitternpulley.aggregator;

import bitternpulley.config.SearchConfiguration;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpClient;
import bitternpulley.net.HttpServer;
import bitternpulley.opensearch.SearchFrontend;
import bitternpulley.opensearch.SearchServers;

/**
 * The HTTP server for searches, and the connections over which their parts go to the slot servers.
 *
 * @param searchServers connections to the search API of the slot servers
 * @param httpServer the HTTP server for clients
 * @param address address at which the HTTP server listens
 */
record SearchService(SearchServers searchServers, HttpServer httpServer, HostPort address) {

  static SearchService create(ServiceContext context, SearchConfiguration configuration) {
    HttpClient client =
        new HttpClient(
            context.loop(),
            configuration.maxPartBytes(),
            context.descriptors().serverConnections(),
            context.connectTimeout(),
            context.configuration().connections().idleTimeout());
    SearchServers searchServers =
        new SearchServers(context.loop(), context.broker(), client, configuration);
    context.broker().addProtocolAdapter(searchServers);
    SearchFrontend searchFrontend =
        new SearchFrontend(
            context.configuration().settings(),
            configuration,
            context.broker(),
            searchServers,
            context.clock(),
            context.configuration().name(),
            context.brokerConfiguration()::tenantIdentification,
            context.clientMemory().inProgress());
    return new SearchService(
        searchServers, context.newHttpServer(searchFrontend), configuration.listen());
  }
}
