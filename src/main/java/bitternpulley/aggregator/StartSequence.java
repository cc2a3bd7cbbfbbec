package bitternpulley.aggregator;

import bitternpulley.config.Configuration;
import bitternpulley.platform.ConnectionPrewarmer;
import bitternpulley.platform.WarmupQueries;
import java.lang.System.Logger.Level;

/**
 * Brings the process from started subsystems to readiness: warms up the JVM, waits for discovery's
 * first list and listens for clients.
 */
final class StartSequence {
  private static final System.Logger LOG = System.getLogger(StartSequence.class.getName());

  /** Ms for which the start waits for discovery; without a list the stored one is used. */
  private static final double DISCOVERY_TIMEOUT_MS = 500;

  private static final double DISCOVERY_CHECK_INTERVAL_MS = 10;

  /** When the fronts begin to listen. */
  private enum ListenTiming {
    /**
     * Before the warm-up, with connections left in the backlog until discovery has answered. A
     * small fleet misses each of its aggregators.
     */
    AT_ONCE,
    /** When ready. In a large fleet an aggregator is not missed, and its connections are costly. */
    WHEN_READY,
    /**
     * When ready, on an inherited socket: connections that arrive until then are for the process
     * that is being replaced.
     */
    ON_HOT_RESTART;

    static ListenTiming of(Configuration configuration) {
      if (configuration.operations().passedSocket()) {
        return ON_HOT_RESTART;
      }
      return configuration.connections().handshakesCostly() ? WHEN_READY : AT_ONCE;
    }
  }

  private final ServiceContext context;
  private final ServiceState state;
  private final Fronts fronts;
  private final EndpointListDistributor endpointLists;
  private final HotRestart hotRestart;
  private final ConnectionPrewarmer connectionPrewarmer;
  private final boolean sparesConnections;
  private final ListenTiming listenTiming;

  StartSequence(
      ServiceContext context,
      ServiceState state,
      Fronts fronts,
      EndpointListDistributor endpointLists,
      HotRestart hotRestart,
      ConnectionPrewarmer connectionPrewarmer) {
    this.context = context;
    this.state = state;
    this.fronts = fronts;
    this.endpointLists = endpointLists;
    this.hotRestart = hotRestart;
    this.connectionPrewarmer = connectionPrewarmer;
    sparesConnections = context.site().connections().handshakesCostly();
    listenTiming = ListenTiming.of(context.site());
  }

  /** Starts; {@code onReady} runs once the process is ready, and not at all if it drains before. */
  void start(Runnable onReady) {
    double deadline = context.clock().now() + DISCOVERY_TIMEOUT_MS;
    if (listenTiming == ListenTiming.AT_ONCE) {
      fronts.holdBackConnections();
      fronts.listen();
      afterDiscovery(deadline, fronts::acceptConnections);
    }
    // The warm-up runs while discovery's answer is awaited, so that it delays readiness least.
    WarmupQueries warmupQueries =
        new WarmupQueries(context.site().settings(), ServiceContext.MAX_BODY_BYTES, context.loop());
    warmupQueries.run(
        sparesConnections,
        () -> afterDiscovery(deadline, () -> becomeReady(warmupQueries, onReady)));
  }

  /**
   * Runs the task once discovery has answered or the deadline is over. Clients are not accepted
   * before, because their requests would delay the processing of discovery's answer and would be
   * routed by the stored list, which is as old as the restart.
   */
  private void afterDiscovery(double deadline, Runnable task) {
    if (endpointLists.hasDiscoveryAnswered() || context.clock().now() >= deadline) {
      task.run();
    } else {
      context.timer().after(DISCOVERY_CHECK_INTERVAL_MS, () -> afterDiscovery(deadline, task));
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
        context.site().name()
            + " is ready at "
            + context.site().listen()
            + (sparesConnections ? ", with connection pre-warming" : ""));
    onReady.run();
    if (sparesConnections) {
      connectionPrewarmer.enable();
      warmupQueries.continueInBackground();
    }
  }

  private void listenWhenReady() {
    switch (listenTiming) {
      case AT_ONCE -> {
        // Listens since the beginning of the start.
      }
      case WHEN_READY -> fronts.listen();
      case ON_HOT_RESTART -> {
        fronts.listenOnPassedSocket();
        hotRestart.onListening();
      }
    }
  }
}
