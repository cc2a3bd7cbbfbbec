package bitternpulley.aggregator;

import bitternpulley.config.Configuration;

/**
 * How many of the process's file descriptors each front and each server protocol may use.
 *
 * @param serverConnections connections to slot servers, for each protocol
 * @param clientConnections connections from clients, for each front
 */
record DescriptorBudget(int serverConnections, int clientConnections) {
  /** Descriptors kept for the JVM's own files, discovery and the listeners. */
  private static final int RESERVED = 40;

  /** Connections to slot servers get a third of the descriptors. */
  private static final int SERVER_DIVISOR = 3;

  /** Divides what is left after the reserve evenly among the fronts. */
  static DescriptorBudget of(Configuration configuration, int fronts) {
    int available = (configuration.sockets() - RESERVED) / fronts;
    return configuration.operations().passedSocket()
        ? forHotRestart(available)
        : forSingleProcess(available);
  }

  private static DescriptorBudget forSingleProcess(int available) {
    int servers = available / SERVER_DIVISOR;
    return new DescriptorBudget(servers, available - servers);
  }

  /** During a hot restart two processes share the descriptors. */
  private static DescriptorBudget forHotRestart(int available) {
    int clients = (available - RESERVED) / 2;
    return new DescriptorBudget(clients / 2, clients);
  }
}
