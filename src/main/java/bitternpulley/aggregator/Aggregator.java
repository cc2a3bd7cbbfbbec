package bitternpulley.aggregator;

import bitternpulley.admin.AdminEndpoint;
import bitternpulley.admin.OverridesFile;
import bitternpulley.admin.ReloadObserver;
import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Reducer;
import bitternpulley.config.Configuration;
import bitternpulley.config.EndpointList;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.platform.Discovery;
import bitternpulley.platform.Preparation;
import java.lang.System.Logger.Level;
import java.util.Optional;

/**
 * One aggregator process: creates its subsystems and starts them in order. {@link GracefulShutdown}
 * stops them: fronts, membership, passed socket, listeners.
 */
public final class Aggregator {
  private static final System.Logger LOG = System.getLogger(Aggregator.class.getName());

  private final Configuration site;
  private final EventLoop loop;
  private final AdminEndpoint admin;
  private final MembershipSubsystem membership;
  private final EndpointListDistributor endpointLists;
  private final ActiveBrokerConfiguration brokerConfiguration;
  private final Discovery discovery;
  private final StartSequence startSequence;
  private final ConfigurationReload reload;
  private final GracefulShutdown shutdown;

  private Aggregator(StartupConfiguration configuration) {
    site = configuration.site();
    Clock clock = Clock.system();
    loop = new EventLoop(clock::now);
    Broker.Timer timer = new LoopTimer(loop);
    Broker broker =
        new Broker(new Reducer(site.settings(), site.seed(), clock.now()), clock, timer);
    brokerConfiguration = new ActiveBrokerConfiguration(broker, configuration.broker());
    ServiceState state = new ServiceState();

    int frontCount = configuration.search().isPresent() ? 2 : 1;
    DescriptorBudget descriptors = DescriptorBudget.of(site, frontCount);
    ServiceContext context =
        new ServiceContext(loop, timer, broker, clock, site, brokerConfiguration, descriptors);
    QueryService queries = QueryService.create(context, state);
    Optional<SearchService> search =
        configuration.search().map(settings -> SearchService.create(context, settings));
    Fronts fronts = new Fronts(loop, queries.front(), site.listen(), search);

    Preparation prewarmer = new Preparation(loop, site.seed(), queries.servers()::prepare);
    endpointLists =
        new EndpointListDistributor(broker, state, queries.servers(), search, prewarmer);
    discovery = discovery(endpointLists);
    membership = new MembershipSubsystem(loop, broker, configuration);
    reload = new ConfigurationReload(loop, site, brokerConfiguration, discovery);
    admin =
        new AdminEndpoint(
            loop,
            broker,
            new OverridesFile(site.operations().folder()),
            new AdministeredService(state, fronts, brokerConfiguration, reload));

    HotRestart hotRestart = new HotRestart(context, state);
    startSequence = new StartSequence(context, state, fronts, endpointLists, hotRestart, prewarmer);
    shutdown = new GracefulShutdown(context, state, fronts, membership, hotRestart);
  }

  private Discovery discovery(EndpointListDistributor lists) {
    EndpointList stored = site.lastEndpoints();
    return new Discovery(
        loop, site.discovery(), site.zones(), stored.revision(), lists::onDiscoveryList);
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
    aggregator.loop.execute(() -> aggregator.start(onReady));
    // Registered after the start has begun, so that a reload cannot take effect before it.
    if (!ProcessSignal.HUP.onReceive(() -> aggregator.reload.start(ReloadObserver.NONE))) {
      LOG.log(
          Level.WARNING,
          "SIGHUP is ignored, as whoever started this program (nohup, a service manager) had it"
              + " ignored, and the JVM leaves it so: reload by signal is off; call 'reload' at the"
              + " operators' admin endpoint instead");
    }
  }

  /** Operator overrides, leases and endpoints take effect before the first request is accepted. */
  private void start(Runnable onReady) {
    loop.watchItself();
    if (site.operations().admin().isPresent()) {
      startAdmin(site.operations().admin().get());
    }
    membership.startLeases();
    endpointLists.onStoredList(site.lastEndpoints());
    brokerConfiguration.activateInitial();
    discovery.start();
    membership.start();
    startSequence.start(onReady);
  }

  private void startAdmin(HostPort address) {
    admin.loadOverrides();
    ListenerStart.open(admin::listen, address);
  }
}
