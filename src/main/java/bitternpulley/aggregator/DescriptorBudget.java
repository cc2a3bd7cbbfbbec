package bitternpulley.aggregator;

import bitternpulley.config.Configuration;

/**
 * The number of file descriptors that each HTTP server for clients and each protocol to the slot
 * servers may use.
 *
 * @param serverConnections maximum number of connections to slot servers, per protocol
 * @param clientConnections maximum number of connections from clients, per HTTP server
 */
record DescriptorBudget(int serverConnections, int clientConnections) {
  /** Descriptors reserved for the JVM's own files, discovery and the listeners. */
  private static final int RESERVED = 40;

  /** Without hot restart, connections to slot servers get one third of the descriptors. */
  private static final int SERVER_DIVISOR = 3;

  /** Divides the descriptors that are not reserved evenly among the HTTP servers. */
  static DescriptorBudget of(Configuration configuration, int httpServerCount) {
    int available = (configuration.maxSockets() - RESERVED) / httpServerCount;
    return configuration.processSettings().passedSocket()
        ? forHotRestart(available)
        : forSingleProcess(available);
  }

  private static DescriptorBudget forSingleProcess(int available) {
    int servers = available / SERVER_DIVISOR;
    return new DescriptorBudget(servers, available - servers);
  }

  /**
   * Leaves some descriptors unused, because two processes share them during a hot restart. After a
   * second reserve, half of the descriptors are for clients and a quarter for slot servers.
   */
  private static DescriptorBudget forHotRestart(int available) {
    int clients = (available - RESERVED) / 2;
    return new DescriptorBudget(clients / 2, clients);
  }
}
