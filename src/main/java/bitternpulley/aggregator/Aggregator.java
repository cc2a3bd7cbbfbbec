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
 * stops them: fronts, membership, passed socket, listeners.
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
    Fronts fronts = new Fronts(context.loop(), queries.front(), context.site().listen(), search);

    ConnectionPrewarmer prewarmer =
        new ConnectionPrewarmer(context.loop(), context.site().seed(), queries.servers()::prewarm);
    endpointLists =
        new EndpointListDistributor(context.broker(), state, queries.servers(), search, prewarmer);
    discovery = discovery(context, endpointLists);
    membership = new MembershipSubsystem(context, configuration.broker());
    reload = new ConfigurationReload(context, discovery);
    admin = admin(context, new AdministeredService(context, state, fronts, reload));

    HotRestart hotRestart = new HotRestart(context, state);
    startSequence = new StartSequence(context, state, fronts, endpointLists, hotRestart, prewarmer);
    shutdown = new GracefulShutdown(context, state, fronts, membership, hotRestart);
  }

  private static Discovery discovery(ServiceContext context, EndpointListDistributor lists) {
    Configuration site = context.site();
    return new Discovery(
        context.loop(),
        site.discovery(),
        site.zones(),
        site.lastEndpoints().revision(),
        lists::onDiscoveryList);
  }

  private static AdminEndpoint admin(ServiceContext context, ServiceControl service) {
    OverridesFile overrides = new OverridesFile(context.site().operations().stateDirectory());
    return new AdminEndpoint(context.loop(), context.broker(), overrides, service);
  }

  /**
   * Serves until SIGTERM. Returns once the start has begun.
   *
   * @throws bitternpulley.config.ConfigurationException when the configuration cannot be used
   */
  public static void serve() {
    run(() -> {});
  }

  /**
   * Starts, and exits as soon as it is ready. The build runs this to have the JVM archive the
   * classes that a start loads; mapping that archive saves most of a start's work.
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
    // Registered after the start has begun, so that a reload cannot take effect before it.
    if (!ProcessSignal.HUP.onReceive(() -> aggregator.reload.start(ReloadObserver.NONE))) {
      LOG.log(
          Level.WARNING,
          "SIGHUP is ignored because the parent process had it ignored; call 'reload' at the admin"
              + " endpoint instead");
    }
  }

  /** Operator overrides, leases and endpoints take effect before the first request is accepted. */
  private void start(Runnable onReady) {
    Configuration site = context.site();
    context.loop().onPause(ms -> context.broker().submit(new Event.ProcessPaused(ms)));
    context.loop().startLagMonitor();
    if (site.operations().admin().isPresent()) {
      startAdmin(site.operations().admin().get());
    }
    membership.startLeases();
    endpointLists.onStoredList(site.lastEndpoints());
    context.brokerConfiguration().activateInitial();
    discovery.start();
    membership.start();
    startSequence.start(onReady);
  }

  private void startAdmin(HostPort address) {
    admin.loadOverrides();
    ListenerStart.open(admin::listen, address);
  }
}
