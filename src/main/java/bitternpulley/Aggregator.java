package bitternpulley;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Event;
import bitternpulley.broker.Reducer;
import bitternpulley.config.ConfigException;
import bitternpulley.config.Configuration;
import bitternpulley.config.ConfigurationReader;
import bitternpulley.config.ServerList;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HttpServer;
import bitternpulley.platform.Discovery;
import bitternpulley.platform.QueryFront;
import bitternpulley.platform.SlotServers;
import bitternpulley.policy.Router;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;

/** One real aggregator: puts the parts together, and takes them out of service on SIGTERM. */
final class Aggregator {
  private static final System.Logger LOG = System.getLogger(Aggregator.class.getName());
  private static final int MOST_BODY = 64 * 1024;
  /** Descriptors kept for the JVM's own files, discovery and the listeners. */
  private static final int RESERVE = 64;
  /** Ms after SIGTERM for which connections are still taken: clients go on coming until the front has noticed. */
  private static final double GRACE = 800;
  private static final double DRAIN_CHECK = 20;
  /** Exit status of a configuration that cannot be used. */
  private static final int BAD_CONFIGURATION = 2;

  private final EventLoop loop = new EventLoop();
  private final CountDownLatch drained = new CountDownLatch(1);
  private final Configuration config;
  private final Broker broker;
  private final SlotServers servers;
  private final HttpServer front;
  private boolean anyServer;
  private boolean draining;

  private Aggregator(Configuration config) {
    this.config = config;
    Clock clock = Clock.system();
    broker = new Broker(new Reducer(config.settings(), config.seed(), clock.now()), clock, loop::after);
    // Half of what is left goes to clients, half to slot servers.
    int share = (config.sockets() - RESERVE) / 2;
    servers = new SlotServers(loop, broker, config.wire().streams(), config.wire().keepalive(),
        config.settings().limits().connectTimeout(), share);
    broker.add(servers);
    front = new HttpServer(loop, MOST_BODY, share,
        new QueryFront(config.settings(), broker, servers, () -> anyServer && !draining));
  }

  static void main() {
    Configuration config;
    try {
      config = ConfigurationReader.read(System.getenv());
    } catch (ConfigException e) {
      System.err.println("configuration: " + e.getMessage());
      System.exit(BAD_CONFIGURATION);
      return;
    }
    Aggregator aggregator = new Aggregator(config);
    Runtime.getRuntime().addShutdownHook(new Thread(aggregator::drain, "drain"));
    aggregator.loop.execute(aggregator::start);
  }

  private void start() {
    told(config.known(), Router.ListKind.REMEMBERED);
    new Discovery(loop, config.discovery(), config.zones(), config.known().revision(),
        list -> told(list, list.complete() ? Router.ListKind.COMPLETE : Router.ListKind.CHANGES)).start();
    try {
      front.listen(config.listen());
      LOG.log(Level.INFO, config.name() + " listens at " + config.listen());
    } catch (IOException e) {
      LOG.log(Level.ERROR, "cannot listen at " + config.listen(), e);
      Runtime.getRuntime().halt(1);
    }
  }

  private void told(ServerList list, Router.ListKind kind) {
    list.entries().stream().filter(e -> e.address() != null)
        .forEach(e -> servers.address(e.member().server(), e.address()));
    anyServer |= list.entries().stream().anyMatch(e -> e.member().state() == Router.ServerState.LIVE);
    broker.submit(new Event.Told(kind, list.entries().stream().map(ServerList.Entry::member).toList()));
  }

  /** Runs as the shutdown hook: the program ends when this returns. */
  private void drain() {
    loop.execute(() -> {
      LOG.log(Level.INFO, "draining");
      draining = true;
      front.drain();
      loop.after(GRACE, () -> {
        front.stopListening();
        awaitIdle();
      });
    });
    try {
      drained.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitIdle() {
    if (broker.open() == 0 && front.open() == 0) {
      drained.countDown();
    } else {
      loop.after(DRAIN_CHECK, this::awaitIdle);
    }
  }
}
