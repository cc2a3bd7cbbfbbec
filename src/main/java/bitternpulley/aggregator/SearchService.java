package bitternpulley.aggregator;

import bitternpulley.config.SearchConfiguration;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpClient;
import bitternpulley.net.HttpServer;
import bitternpulley.opensearch.SearchFront;
import bitternpulley.opensearch.SearchServers;

/**
 * The OpenSearch front and the protocol to the slot servers that it uses.
 *
 * @param servers connections to the slot servers' OpenSearch ports
 * @param front the HTTP server for clients
 * @param address where the front listens
 */
record SearchService(SearchServers servers, HttpServer front, HostPort address) {

  static SearchService create(ServiceContext context, SearchConfiguration configuration) {
    HttpClient client =
        new HttpClient(
            context.loop(),
            configuration.maxPartBytes(),
            context.descriptors().serverConnections(),
            context.connectTimeout(),
            context.site().connections().idleTimeout());
    SearchServers servers =
        new SearchServers(context.loop(), context.broker(), client, configuration.serverPort());
    context.broker().addDialect(servers);
    SearchFront searches =
        new SearchFront(
            context.site().settings(),
            configuration,
            context.broker(),
            servers,
            context.clock(),
            context.site().name(),
            context.brokerConfiguration()::tenantIdentification);
    return new SearchService(servers, context.newFront(searches), configuration.listen());
  }
}
