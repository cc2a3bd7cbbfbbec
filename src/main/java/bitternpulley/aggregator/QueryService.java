package bitternpulley.aggregator;

import bitternpulley.net.HttpServer;
import bitternpulley.platform.QueryFrontend;
import bitternpulley.platform.SlotServers;

/**
 * The HTTP server for queries, and the connections over which their parts go to the slot servers.
 *
 * @param slotServers connections to the slot servers
 * @param httpServer the HTTP server for clients
 */
record QueryService(SlotServers slotServers, HttpServer httpServer) {

  static QueryService create(ServiceContext context, ServiceState state) {
    SlotServers slotServers =
        new SlotServers(
            context.loop(),
            context.broker()::submit,
            context.clock(),
            context.configuration().connections(),
            context.connectTimeout(),
            context.descriptors().serverConnections());
    context.broker().addProtocolAdapter(slotServers);
    QueryFrontend queryFrontend =
        new QueryFrontend(
            context.configuration().settings(),
            context.broker(),
            slotServers,
            state::isReadyForClients,
            context.brokerConfiguration()::tenantIdentification);
    slotServers.setReplyHandler(queryFrontend::reply);
    return new QueryService(slotServers, context.newHttpServer(queryFrontend));
  }
}
