package bitternpulley.aggregator;

import bitternpulley.config.Configuration;
import bitternpulley.net.HttpServer;
import bitternpulley.platform.QueryFrontend;
import bitternpulley.platform.RequestIdMemory;
import bitternpulley.platform.SlotServers;
import java.nio.ByteBuffer;

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
            context.brokerConfiguration()::tenantIdentification,
            requestIdMemory(context.configuration().processSettings()));
    slotServers.setReplyHandler(queryFrontend::reply);
    return new QueryService(slotServers, context.newHttpServer(queryFrontend));
  }

  /** Two processes with a passed socket serve the same clients during a hot restart. */
  private static ByteBuffer requestIdMemory(Configuration.ProcessSettings process) {
    return process.passedSocket() && process.stateDirectory().isPresent()
        ? RequestIdMemory.shared(process.stateDirectory().get())
        : RequestIdMemory.ofProcess();
  }
}
