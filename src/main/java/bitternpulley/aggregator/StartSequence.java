package bitternpulley.aggregator;

import bitternpulley.config.Configuration;
import bitternpulley.platform.ConnectionPrewarmer;
import bitternpulley.platform.WarmupQueries;
import java.lang.System.Logger.Level;

/**
 * Brings a process whose subsystems have started to readiness: warms up the JVM, waits for the
 * first list from discovery and listens for clients.
 */
final class StartSequence {
  private static final System.Logger LOG = System.getLogger(StartSequence.class.getName());

  /** Milliseconds to wait for discovery; without an answer, the stored list is used. */
  private static final double DISCOVERY_TIMEOUT_MS = 500;

  private static final double DISCOVERY_CHECK_INTERVAL_MS = 10;

  /** When the HTTP servers start to listen. */
  private enum ListenTiming {
    /**
     * Before the warm-up, with connections left in the backlog until discovery has answered. For
     * small fleets, in which every aggregator matters.
     */
    AT_ONCE,
    /**
     * When ready. For large fleets, in which one aggregator is dispensable and its connections are
     * costly.
     */
    WHEN_READY,
    /**
     * When ready, on an inherited socket: the process that is being replaced accepts the
     * connections that arrive until then.
     */
    ON_HOT_RESTART;

    static ListenTiming of(Configuration configuration) {
      if (configuration.processSettings().passedSocket()) {
        return ON_HOT_RESTART;
      }
      return configuration.connections().handshakesCostly() ? WHEN_READY : AT_ONCE;
    }
  }

  private final ServiceContext context;
  private final ServiceState state;
  private final ClientHttpServers httpServers;
  private final EndpointListDistributor endpointLists;
  private final HotRestart hotRestart;
  private final ConnectionPrewarmer connectionPrewarmer;
  private final boolean handshakesCostly;
  private final ListenTiming listenTiming;

  StartSequence(
      ServiceContext context,
      ServiceState state,
      ClientHttpServers httpServers,
      EndpointListDistributor endpointLists,
      HotRestart hotRestart,
      ConnectionPrewarmer connectionPrewarmer) {
    this.context = context;
    this.state = state;
    this.httpServers = httpServers;
    this.endpointLists = endpointLists;
    this.hotRestart = hotRestart;
    this.connectionPrewarmer = connectionPrewarmer;
    handshakesCostly = context.configuration().connections().handshakesCostly();
    listenTiming = ListenTiming.of(context.configuration());
  }

  /** Starts; {@code onReady} runs once the process is ready, or never if it drains earlier. */
  void start(Runnable onReady) {
    double deadline = context.clock().now() + DISCOVERY_TIMEOUT_MS;
    if (listenTiming == ListenTiming.AT_ONCE) {
      httpServers.holdBackConnections();
      httpServers.listen();
      afterDiscovery(deadline, httpServers::acceptConnections);
    }
    // The warm-up runs while the process waits for discovery, so that it delays readiness least.
    WarmupQueries warmupQueries =
        new WarmupQueries(
            context.configuration().settings(), ServiceContext.MAX_BODY_BYTES, context.loop());
    warmupQueries.run(
        handshakesCostly,
        () -> afterDiscovery(deadline, () -> becomeReady(warmupQueries, onReady)));
  }

  /**
   * Runs the task once discovery has answered or the deadline has passed. Clients are not accepted
   * earlier, because their requests would delay the processing of discovery's answer and would be
   * routed by the stored list, which dates from before the restart.
   */
  private void afterDiscovery(double deadline, Runnable task) {
    if (endpointLists.hasDiscoveryAnswered() || context.clock().now() >= deadline) {
      task.run();
    } else {
      context.timer().schedule(DISCOVERY_CHECK_INTERVAL_MS, () -> afterDiscovery(deadline, task));
    }
  }

  private void becomeReady(WarmupQueries warmupQueries, Runnable onReady) {
    if (state.isDraining()) {
      return;
    }
    listenWhenReady();
    state.becomeReady();
    LOG.log(
        Level.INFO,
        context.configuration().name()
            + " is ready at "
            + context.configuration().listen()
            + (handshakesCostly ? ", with connection pre-warming" : ""));
    onReady.run();
    if (handshakesCostly) {
      connectionPrewarmer.enable();
      warmupQueries.continueInBackground();
    }
  }

  private void listenWhenReady() {
    switch (listenTiming) {
      case AT_ONCE -> {
        // Already listening since the start began.
      }
      case WHEN_READY -> httpServers.listen();
      case ON_HOT_RESTART -> {
        httpServers.listenOnInheritedSocket();
        hotRestart.onListening();
      }
    }
  }
}
