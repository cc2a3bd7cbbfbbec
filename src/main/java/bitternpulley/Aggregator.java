package bitternpulley;

import bitternpulley.admin.AdminEndpoint;
import bitternpulley.admin.OverridesFile;
import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Event;
import bitternpulley.broker.Reducer;
import bitternpulley.config.BrokerConfiguration;
import bitternpulley.config.BrokerConfigurationReader;
import bitternpulley.config.Configuration;
import bitternpulley.config.ConfigurationException;
import bitternpulley.config.ConfigurationReader;
import bitternpulley.config.EndpointList;
import bitternpulley.config.SearchConfiguration;
import bitternpulley.config.SearchConfigurationReader;
import bitternpulley.gossip.GossipService;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpClient;
import bitternpulley.net.HttpServer;
import bitternpulley.net.PassedListener;
import bitternpulley.opensearch.SearchFront;
import bitternpulley.opensearch.SearchServers;
import bitternpulley.platform.Discovery;
import bitternpulley.platform.Preparation;
import bitternpulley.platform.QueryFront;
import bitternpulley.platform.Rehearsal;
import bitternpulley.platform.SlotServers;
import bitternpulley.routing.Router;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One real aggregator: puts the parts together, and takes them out of service on SIGTERM. */
final class Aggregator implements AdminEndpoint.Program {
  private static final System.Logger LOG = System.getLogger(Aggregator.class.getName());
  private static final int MOST_BODY = 64 * 1024;

  /** Descriptors kept for the JVM's own files, discovery and the listeners. */
  private static final int RESERVE = 40;

  /**
   * Ms after SIGTERM for which connections are still taken: clients go on coming until the front
   * has noticed.
   */
  private static final double GRACE = 450;

  private static final double DRAIN_CHECK = 20;

  /**
   * The platform may kill the program so many ms after the longest deadline, which counts as at
   * most so long; it ends a little before that by itself, unless an answer is still owed.
   */
  private static final double AFTER_LONGEST = 650;

  private static final double LONGEST_MOST = 3000;

  /** Ms for which a start waits for discovery's first word before it listens, and between looks. */
  private static final double LIST_TIME = 500;

  private static final double LIST_LOOK = 10;

  /** Exit status of a configuration that cannot be used. */
  private static final int BAD_CONFIGURATION = 2;

  private final Clock clock = Clock.system();
  private final EventLoop loop = new EventLoop(clock::now);
  private final CountDownLatch drained = new CountDownLatch(1);
  private final Configuration config;

  /** What the operators' script says, and the version of its contracts that is in force. */
  private BrokerConfiguration agreed;

  private int version = 1;
  private final Broker broker;
  private final SlotServers servers;
  private final HttpServer front;
  private final Optional<SearchSide> search;
  private final Discovery discovery;
  private final Preparation preparation;
  private final AdminEndpoint admin;
  private final Optional<GossipService> peers;
  private boolean anyServer;
  private boolean draining;
  private boolean quiesced;
  private boolean rehearsed;
  private boolean listed;

  /**
   * The second front, where one is configured: its servers, its listener and the address of that.
   */
  private record SearchSide(SearchServers servers, HttpServer front, HostPort listen) {}

  private Aggregator(
      Configuration config,
      BrokerConfiguration agreed,
      Optional<SearchConfiguration> searchConfig) {
    this.config = config;
    this.agreed = agreed;
    broker =
        new Broker(new Reducer(config.settings(), config.seed(), clock.now()), clock, loop::after);
    // A third of the descriptors is for the ways to the slot servers; a second front has half of
    // all.
    int spare = (config.sockets() - RESERVE) / (searchConfig.isPresent() ? 2 : 1);
    // During an upgrade two processes share the descriptors, and the clients, who hold a third at
    // most.
    boolean shared = config.operations().passedSocket();
    int clients = shared ? (spare - RESERVE) / 2 : spare - spare / 3;
    int links = shared ? clients / 2 : spare / 3;
    double connectTimeout = config.settings().limits().connectTimeout();
    servers =
        new SlotServers(loop, broker::submit, clock, config.connections(), connectTimeout, links);
    broker.addDialect(servers);
    preparation = new Preparation(loop, config.seed(), servers::prepare);
    QueryFront queries =
        new QueryFront(
            config.settings(),
            broker,
            servers,
            () -> anyServer && rehearsed && !draining && !quiesced,
            () -> this.agreed.tenantIdentification());
    servers.answersTo(queries::reply);
    front = new HttpServer(loop, MOST_BODY, clients, HttpServer.Timeouts.USUAL, queries);
    search = searchConfig.map(c -> searchSide(c, connectTimeout, links, clients));
    admin = new AdminEndpoint(loop, broker, new OverridesFile(config.operations().folder()), this);
    // No lambda: to link one that makes it would load the class where membership is off.
    peers =
        agreed.membership().isEmpty()
            ? Optional.empty()
            : Optional.of(
                new GossipService(loop, broker, config, agreed.membership().get(), build()));
    discovery =
        new Discovery(
            loop,
            config.discovery(),
            config.zones(),
            config.lastEndpoints().revision(),
            list -> {
              listed = true;
              told(list, list.complete() ? Router.ListKind.COMPLETE : Router.ListKind.CHANGES);
            });
  }

  private static String build() {
    return Optional.ofNullable(Aggregator.class.getPackage().getImplementationVersion())
        .orElse("unpacked");
  }

  private SearchSide searchSide(
      SearchConfiguration c, double connectTimeout, int links, int clients) {
    HttpClient client =
        new HttpClient(
            loop, c.maxPartBytes(), links, connectTimeout, config.connections().idleTimeout());
    SearchServers to = new SearchServers(loop, broker, client, c.serverPort());
    broker.addDialect(to);
    HttpServer server =
        new HttpServer(
            loop,
            MOST_BODY,
            clients,
            HttpServer.Timeouts.USUAL,
            new SearchFront(
                config.settings(),
                c,
                broker,
                to,
                clock,
                config.name(),
                () -> agreed.tenantIdentification()));
    return new SearchSide(to, server, c.listen());
  }

  /** Serves until SIGTERM. */
  static void main() {
    start(() -> {});
  }

  /**
   * Starts, rehearses and ends. The build has the JVM write an archive of the classes that this
   * takes, which the {@code run} line maps: guards against starts that spend most of their part of
   * a core on reading and checking classes.
   */
  static void rehearse() {
    start(() -> new Thread(() -> System.exit(0), "exit").start());
  }

  private static void start(Runnable rehearsal) {
    Aggregator aggregator;
    try {
      Configuration config = ConfigurationReader.read(System.getenv());
      BrokerConfiguration agreed =
          BrokerConfigurationReader.read(System.getenv(), config.settings());
      if (agreed.membership().isPresent()) {
        config.checkPeers();
        agreed.membership().get().leases().ifPresent(config::leaseTerms);
      }
      aggregator =
          new Aggregator(
              config,
              agreed,
              SearchConfigurationReader.read(
                  System.getenv(), config.settings(), agreed.searchFront()));
    } catch (ConfigurationException e) {
      System.err.println("configuration: " + e.getMessage());
      System.exit(BAD_CONFIGURATION);
      return;
    }
    Signals.onEach("TERM", aggregator::drain);
    Signals.onEach("INT", aggregator::drain);
    aggregator.loop.execute(() -> aggregator.serve(rehearsal));
    // Behind the task that serves, so that no new configuration comes before the first.
    if (!Signals.onEach("HUP", () -> aggregator.reload(told -> {}))) {
      LOG.log(
          Level.WARNING,
          "SIGHUP is ignored, as whoever started this program (nohup, a service manager) had it ignored,"
              + " and the JVM leaves it so: reload by signal is off; call 'reload' at the operators' admin endpoint instead");
    }
  }

  @Override
  public boolean serving() {
    return rehearsed && !draining;
  }

  @Override
  public boolean listsAccounts() {
    return agreed.listsAccounts();
  }

  @Override
  public void quiesce(boolean on) {
    quiesced = on;
    fronts().forEach(f -> f.quiesce(on));
  }

  private void serve(Runnable rehearsal) {
    loop.watchItself();
    if (config.operations().admin().isPresent()) {
      openAdmin(config.operations().admin().get());
    }
    if (peers.isPresent()) {
      peers.get().open();
    }
    told(config.lastEndpoints(), Router.ListKind.REMEMBERED);
    broker.submit(new Event.ContractsActivated(agreed.contracts()));
    discovery.start();
    if (peers.isPresent()) { // no method reference: it would load the class where membership is off
      peers.get().start();
    }
    // Few aggregators: each is missed, so clients may come at once, and wait with the machine until
    // discovery has said its
    // first word. Very many, short of discovery: a moment later.
    boolean atOnce =
        !config.connections().handshakesCostly() && !config.operations().passedSocket();
    double until = clock.now() + LIST_TIME;
    if (atOnce) {
      fronts().forEach(HttpServer::holdBack);
      listen();
      whenListed(until, () -> fronts().forEach(HttpServer::letIn));
    }
    // Plays while discovery's word is awaited: what it takes of a start is time in which clients
    // are not served.
    Rehearsal plays = new Rehearsal(config.settings(), MOST_BODY, loop);
    plays.play(
        config.connections().handshakesCostly(),
        () ->
            whenListed(
                until,
                () -> {
                  if (draining) {
                    return; // told to end before it was ready
                  }
                  if (!atOnce && !config.operations().passedSocket()) {
                    listen();
                  }
                  ready(rehearsal);
                  if (config.connections().handshakesCostly()) {
                    preparation.begin();
                    plays.goOn();
                  }
                }));
  }

  /** The platform's front comes last: it is what says that the program is ready. */
  private void listen() {
    search.ifPresent(s -> listen(s.front()::listen, s.listen()));
    listen(front::listen, config.listen());
  }

  /**
   * Guards against sends by a list as old as the restart while what discovery tells waits for its
   * turn: clients come as soon as the program listens, ready or not, and leave it little of its
   * part of a core. Discovery may be down: then what is known has to do.
   */
  private void whenListed(double until, Runnable then) {
    if (listed || clock.now() >= until) {
      then.run();
    } else {
      loop.after(LIST_LOOK, () -> whenListed(until, then));
    }
  }

  private void ready(Runnable rehearsal) {
    if (config.operations().passedSocket()) {
      // Only now: what waits there meanwhile is for the process that is to be replaced.
      search.ifPresent(s -> listen(at -> s.front().listen(at, true), s.listen()));
      listen(at -> front.listen(PassedListener.inherited(loop)), config.listen());
      // Whether one is being replaced is not told; if so, what it has taken till its grace ends is
      // past its deadline then.
      broker.submit(new Event.HotRestartRoleChanged(Router.HotRestartRole.PREDECESSOR));
      loop.after(
          GRACE + longestDeadline(),
          () ->
              broker.submit(
                  new Event.HotRestartRoleChanged(
                      draining ? Router.HotRestartRole.SUCCESSOR : Router.HotRestartRole.NONE)));
    }
    rehearsed = true;
    LOG.log(
        Level.INFO,
        config.name()
            + " is ready at "
            + config.listen()
            + (config.connections().handshakesCostly() ? ", sparing connections" : ""));
    rehearsal.run();
  }

  /**
   * What operators have ordered holds before the first list is heard, and so before the first send.
   */
  private void openAdmin(HostPort at) {
    admin.takeUp();
    listen(admin::listen, at);
  }

  private interface Listening {
    void at(HostPort at) throws IOException;
  }

  private static void listen(Listening server, HostPort at) {
    try {
      server.at(at);
    } catch (IOException e) {
      LOG.log(Level.ERROR, "cannot listen at " + at, e);
      Runtime.getRuntime().halt(1);
    }
  }

  private void told(EndpointList list, Router.ListKind kind) {
    list.entries().stream()
        .filter(e -> e.address() != null)
        .forEach(
            e -> {
              servers.address(e.endpoint().server(), e.address());
              search.ifPresent(s -> s.servers().address(e.endpoint().server(), e.address()));
            });
    list.entries().stream()
        .filter(e -> e.endpoint().state() == Router.ServerState.GONE)
        .forEach(
            e -> {
              servers.forget(e.endpoint().server());
              search.ifPresent(s -> s.servers().forget(e.endpoint().server()));
            });
    preparation.told(list);
    anyServer |=
        list.entries().stream().anyMatch(e -> e.endpoint().state() == Router.ServerState.LIVE);
    if (kind == Router.ListKind.COMPLETE) {
      // What a whole list does not name is gone as well.
      Set<String> named =
          list.entries().stream().map(e -> e.endpoint().server()).collect(Collectors.toSet());
      servers.keepOnly(named);
      search.ifPresent(s -> s.servers().keepOnly(named));
    }
    broker.submit(
        new Event.ServersChanged(
            kind, list.entries().stream().map(EndpointList.Entry::endpoint).toList()));
  }

  /**
   * On a thread of its own: the loop must not wait for a file. A file that cannot be used changes
   * nothing.
   */
  @Override
  public void reload(Consumer<String> answer) {
    new Thread(
            () -> {
              try {
                Configuration fresh = ConfigurationReader.reread(System.getenv());
                BrokerConfiguration script =
                    BrokerConfigurationReader.read(System.getenv(), config.settings());
                loop.execute(
                    () -> {
                      reconfigured(fresh);
                      agree(script);
                      answer.accept("200 done");
                    });
              } catch (ConfigurationException e) {
                String why = "the configuration before stays: " + e.getMessage();
                LOG.log(Level.WARNING, why);
                answer.accept("400 " + why.lines().collect(Collectors.joining(" ")));
              }
            },
            "reload")
        .start();
  }

  /**
   * Where discovery is can change while the program runs; what else the file says counts from the
   * next start.
   */
  private void reconfigured(Configuration fresh) {
    LOG.log(Level.INFO, "the configuration was read again");
    if (!fresh.settings().equals(config.settings())
        || !fresh.listen().equals(config.listen())
        || !fresh.name().equals(config.name())
        || fresh.sockets() != config.sockets()) {
      LOG.log(
          Level.WARNING,
          "the new configuration differs in more than 'discovery': that counts from the next start");
    }
    discovery.moveTo(fresh.discovery());
  }

  /**
   * Other contracts come into force at once; what queries are open ends under those that let it in.
   */
  private void agree(BrokerConfiguration script) {
    if (script.document().equals(agreed.document())) {
      return;
    }
    if (!script.searchFront().equals(agreed.searchFront())) {
      LOG.log(
          Level.WARNING,
          "opensearch() of the operators' script has changed: that counts from the next start");
    }
    agreed = script;
    version++;
    broker.submit(new Event.ContractsActivated(script.contracts().withVersion(version)));
    LOG.log(
        Level.INFO,
        "contracts of version "
            + version
            + " are in force: "
            + script.contracts().contracts().size());
  }

  /** Runs off the loop's thread, and ends the program when nothing is owed any more. */
  private void drain() {
    loop.execute(
        () -> {
          if (draining) {
            return;
          }
          LOG.log(Level.INFO, "draining");
          draining = true;
          fronts().forEach(HttpServer::drain);
          if (peers.isPresent()) {
            peers.get().leave();
          }
          if (config.operations().passedSocket()) {
            // What comes from now on is for the process that takes over.
            front.stopAccepting();
            broker.submit(new Event.HotRestartRoleChanged(Router.HotRestartRole.SUCCESSOR));
          }
          fronts()
              .forEach(
                  HttpServer
                      ::letIn); // told to end before discovery's word: who waits is served by what
          // is known
          double kill = clock.now() + Math.min(LONGEST_MOST, longestDeadline()) + AFTER_LONGEST;
          loop.after(
              GRACE,
              () -> {
                fronts().forEach(HttpServer::stopListening);
                awaitIdle(kill);
              });
        });
    try {
      drained.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    System.exit(0);
  }

  private Stream<HttpServer> fronts() {
    return Stream.concat(Stream.of(front), search.stream().map(SearchSide::front));
  }

  private double longestDeadline() {
    return config.settings().classes().stream().mapToDouble(c -> c.deadline()).max().orElse(0);
  }

  /**
   * Until nothing is owed, or nothing but clients' ends of their connections and the platform is
   * about to kill the program.
   */
  private void awaitIdle(double kill) {
    boolean answered = broker.pendingRequests() == 0 && fronts().allMatch(f -> f.unanswered() == 0);
    if (answered && (clock.now() >= kill || fronts().allMatch(f -> f.busy() == 0))) {
      drained.countDown();
    } else {
      loop.after(DRAIN_CHECK, () -> awaitIdle(kill));
    }
  }
}
