package bitternpulley.aggregator;

import bitternpulley.admin.AdminEndpoint;
import bitternpulley.admin.OverridesFile;
import bitternpulley.admin.ReloadObserver;
import bitternpulley.admin.ServiceControl;
import bitternpulley.broker.Event;
import bitternpulley.config.Configuration;
import bitternpulley.net.HostPort;
import bitternpulley.platform.ConnectionPrewarmer;
import bitternpulley.platform.Discovery;
import java.lang.System.Logger.Level;
import java.util.Optional;

/**
 * One aggregator process: creates its subsystems and starts them in order. {@link GracefulShutdown}
 * drains the HTTP servers, leaves the membership, gives up the inherited socket and stops
 * listening, in this order.
 */
public final class Aggregator {
  private static final System.Logger LOG = System.getLogger(Aggregator.class.getName());

  private final ServiceContext context;
  private final AdminEndpoint admin;
  private final MembershipSubsystem membership;
  private final EndpointListDistributor endpointLists;
  private final Discovery discovery;
  private final StartSequence startSequence;
  private final ConfigurationReload reload;
  private final GracefulShutdown shutdown;

  private Aggregator(StartupConfiguration configuration) {
    context = ServiceContext.create(configuration);
    ServiceState state = new ServiceState();
    QueryService queries = QueryService.create(context, state);
    Optional<SearchService> search =
        configuration.search().map(settings -> SearchService.create(context, settings));
    ClientHttpServers httpServers =
        new ClientHttpServers(
            context.loop(), queries.httpServer(), context.configuration().listen(), search);

    ConnectionPrewarmer prewarmer =
        new ConnectionPrewarmer(
            context.loop(), context.configuration().seed(), queries.slotServers()::prewarm);
    endpointLists =
        new EndpointListDistributor(
            context.broker(), state, queries.slotServers(), search, prewarmer);
    discovery = createDiscovery(context, endpointLists);
    membership = new MembershipSubsystem(context, configuration.broker());
    reload = new ConfigurationReload(context, discovery);
    admin =
        createAdminEndpoint(context, new AggregatorControl(context, state, httpServers, reload));

    HotRestart hotRestart = new HotRestart(context, state);
    startSequence =
        new StartSequence(context, state, httpServers, endpointLists, hotRestart, prewarmer);
    shutdown = new GracefulShutdown(context, state, httpServers, membership, hotRestart);
  }

  private static Discovery createDiscovery(
      ServiceContext context, EndpointListDistributor endpointLists) {
    Configuration configuration = context.configuration();
    return new Discovery(
        context.loop(),
        configuration.discovery(),
        configuration.zones(),
        configuration.lastEndpoints().revision(),
        endpointLists::onDiscoveryList);
  }

  private static AdminEndpoint createAdminEndpoint(ServiceContext context, ServiceControl control) {
    OverridesFile overrides =
        new OverridesFile(context.configuration().processSettings().stateDirectory());
    return new AdminEndpoint(context.loop(), context.broker(), overrides, control);
  }

  /**
   * Starts a process that serves until SIGTERM or SIGINT. Returns once the start has begun.
   *
   * @throws bitternpulley.config.ConfigurationException when the configuration cannot be used
   */
  public static void serve() {
    run(() -> {});
  }

  /**
   * Starts a process that exits as soon as it is ready. The build runs this so that the JVM
   * archives the classes loaded during startup; mapping that archive saves most of the startup
   * work.
   *
   * @throws bitternpulley.config.ConfigurationException when the configuration cannot be used
   */
  public static void serveUntilReady() {
    run(() -> new Thread(() -> System.exit(0), "exit").start());
  }

  private static void run(Runnable onReady) {
    Aggregator aggregator = new Aggregator(StartupConfiguration.read(System.getenv()));
    ProcessSignal.TERM.onReceive(aggregator.shutdown::run);
    ProcessSignal.INT.onReceive(aggregator.shutdown::run);
    aggregator.context.loop().execute(() -> aggregator.start(onReady));
    // Registered after the start is queued on the loop, so that no reload takes effect before it.
    if (!ProcessSignal.HUP.onReceive(() -> aggregator.reload.start(ReloadObserver.NONE))) {
      LOG.log(
          Level.WARNING,
          "SIGHUP is ignored because the parent process had it ignored; call 'reload' at the admin"
              + " endpoint instead");
    }
  }

  /**
   * Starts the subsystems. Operator overrides, leases and stored endpoints take effect before the
   * first request is accepted.
   */
  private void start(Runnable onReady) {
    Configuration configuration = context.configuration();
    context
        .loop()
        .setPauseListener(pauseMs -> context.broker().submit(new Event.ProcessPaused(pauseMs)));
    context.loop().startLagMonitor();
    if (configuration.processSettings().admin().isPresent()) {
      startAdmin(configuration.processSettings().admin().get());
    }
    membership.startLeases();
    endpointLists.onStoredList(configuration.lastEndpoints());
    context.brokerConfiguration().activateInitial();
    discovery.start();
    membership.start();
    startSequence.start(onReady);
  }

  private void startAdmin(HostPort address) {
    admin.loadOverrides();
    RequiredListener.open(admin::listen, address);
  }
}
