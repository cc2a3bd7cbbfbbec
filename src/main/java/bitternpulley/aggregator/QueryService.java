package bitternpulley.aggregator;

import bitternpulley.net.HttpServer;
import bitternpulley.platform.QueryFront;
import bitternpulley.platform.SlotServers;

/**
 * The platform's front and the frame protocol to the slot servers.
 *
 * @param servers connections to the slot servers
 * @param front the HTTP server for clients
 */
record QueryService(SlotServers servers, HttpServer front) {

  static QueryService create(ServiceContext context, ServiceState state) {
    SlotServers servers =
        new SlotServers(
            context.loop(),
            context.broker()::submit,
            context.clock(),
            context.site().connections(),
            context.connectTimeout(),
            context.descriptors().serverConnections());
    context.broker().addDialect(servers);
    QueryFront queries =
        new QueryFront(
            context.site().settings(),
            context.broker(),
            servers,
            state::isReadyForClients,
            context.brokerConfiguration()::tenantIdentification);
    servers.deliverAnswersTo(queries::reply);
    return new QueryService(servers, context.newFront(queries));
  }
}
