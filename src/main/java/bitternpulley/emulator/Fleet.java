package bitternpulley.emulator;

import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Emulated slot servers in a ring over several zones, discovery that lists them, and the
 * configuration of aggregators that use them.
 */
public final class Fleet {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String HOST_PREFIX = "127.0.3.";

  private final List<SlotServer> servers = new ArrayList<>();
  private final RuleCheck ruleCheck = new RuleCheck();
  private final int coresPerServer;
  private final int searchPort;
  private final List<String> zones;
  private final DiscoveryView commonView;
  private final List<DiscoveryView> views = new CopyOnWriteArrayList<>();
  private final EventLoop loop;
  private final Map<SlotServer, String> phases = new ConcurrentHashMap<>();
  private final Map<SlotServer, Long> startedAt = new ConcurrentHashMap<>();
  private final AtomicInteger revision = new AtomicInteger(1);

  /** A discovery service that lists the servers at addresses chosen for its watchers. */
  public final class DiscoveryView {
    private final Function<SlotServer, HostPort> serverAddresses;
    private final DiscoveryService service;
    private final HostPort address;

    private DiscoveryView(Function<SlotServer, HostPort> serverAddresses) throws IOException {
      this.serverAddresses = serverAddresses;
      service = new DiscoveryService(loop, () -> endpointList(this).toString());
      address = service.listen("127.0.0.1");
    }

    /** Returns the address of the discovery service. */
    public HostPort address() {
      return address;
    }
  }

  /** Starts servers with the same number of cores each, assigned to two zones in turn. */
  public Fleet(EventLoop loop, int serverCount, int coresPerServer) throws IOException {
    this(loop, serverCount, coresPerServer, List.of("gulberg", "johar"));
  }

  /**
   * Starts servers with the same number of cores each, assigned to the zones in turn. Each shard is
   * on two servers.
   */
  public Fleet(EventLoop loop, int serverCount, int coresPerServer, List<String> zones)
      throws IOException {
    this.coresPerServer = coresPerServer;
    this.zones = List.copyOf(zones);
    searchPort = findFreePort(serverCount);
    for (int number = 0; number < serverCount; number++) {
      SlotServer server =
          new SlotServer("s" + number, number, serverCount, coresPerServer, loop, ruleCheck);
      server.listen(HOST_PREFIX + (number + 1), searchPort);
      servers.add(server);
    }
    this.loop = loop;
    commonView = createView(SlotServer::frameAddress);
  }

  /**
   * Creates a discovery service that lists each server at the address that the function returns.
   */
  public DiscoveryView createView(Function<SlotServer, HostPort> serverAddresses)
      throws IOException {
    DiscoveryView view = new DiscoveryView(serverAddresses);
    views.add(view);
    return view;
  }

  /** Returns the names of the zones, by number. */
  public List<String> zones() {
    return zones;
  }

  /** Returns the number of the zone in which a server is. */
  public int zoneOf(SlotServer server) {
    return server.cell() % zones.size();
  }

  /** Returns a port that is currently free on the hosts of all servers. */
  private static int findFreePort(int serverCount) throws IOException {
    IOException lastFailure = null;
    for (int attempt = 0; attempt < 20; attempt++) {
      int port;
      try (ServerSocket anyPort = new ServerSocket(0, 1, InetAddress.getByName(HOST_PREFIX + 1))) {
        port = anyPort.getLocalPort();
      }
      try {
        for (int number = 1; number < serverCount; number++) {
          new ServerSocket(port, 1, InetAddress.getByName(HOST_PREFIX + (number + 1))).close();
        }
        return port;
      } catch (IOException exception) {
        lastFailure = exception;
      }
    }
    throw lastFailure;
  }

  /** Returns all servers, by number. */
  public List<SlotServer> servers() {
    return servers;
  }

  /** Returns the rule check to which all servers report their attempts. */
  public RuleCheck ruleCheck() {
    return ruleCheck;
  }

  /** Returns the address of the discovery service that lists the servers' own addresses. */
  public HostPort discoveryAddress() {
    return commonView.address();
  }

  /** Returns the port at which every server serves the search API. */
  public int searchPort() {
    return searchPort;
  }

  /** Returns how many ms of work all cores together do in a second. */
  public double workMsPerSecond() {
    return 1000.0 * coresPerServer * servers.size();
  }

  /** Returns how many ms of work were finished so far. */
  public double workDoneMs() {
    return servers.stream().mapToDouble(SlotServer::workDoneMs).sum();
  }

  private ObjectNode endpointList(DiscoveryView view) {
    ObjectNode list = JSON.createObjectNode().put("revision", revision.get()).put("complete", true);
    ArrayNode entries = list.putArray("members");
    servers.forEach(server -> addEntry(entries, server, view));
    return list;
  }

  /**
   * Emulates the restart of a server: discovery announces the new process, and the work that the
   * server is sent is checked against the limits of the settings until it has warmed up.
   */
  public void restart(SlotServer server) {
    startedAt.put(server, System.currentTimeMillis());
    ruleCheck.serverStarted(server.id(), coresPerServer, System.nanoTime() / 1e6);
    publishPhase(server, "up");
  }

  /** Publishes a new phase of a server to all watchers: up, draining or removed. */
  public void publishPhase(SlotServer server, String phase) {
    server.setDraining(!phase.equals("up"));
    phases.put(server, phase);
    int nextRevision = revision.incrementAndGet();
    for (DiscoveryView view : views) {
      ObjectNode change =
          JSON.createObjectNode().put("revision", nextRevision).put("complete", false);
      addEntry(change.putArray("members"), server, view);
      loop.execute(() -> view.service.publish(change.toString()));
    }
  }

  private void addEntry(ArrayNode entries, SlotServer server, DiscoveryView view) {
    entries
        .addObject()
        .put("id", server.id())
        .put("host_port", view.serverAddresses.apply(server).toString())
        .put("locality", zones.get(zoneOf(server)))
        .put("cell", server.cell())
        .put("phase", phases.getOrDefault(server, "up"))
        .put("size", 1.0)
        .put("up_since_ms", startedAt.getOrDefault(server, 0L));
  }

  /**
   * Returns the configuration of one of several aggregators, by its number. The aggregator connects
   * to the servers at the addresses of a view, and to discovery at {@code discoveryAddress}.
   */
  public ObjectNode configuration(
      int number,
      int instances,
      String listen,
      int maxPending,
      DiscoveryView view,
      HostPort discoveryAddress) {
    ObjectNode config =
        configuration(number, instances, listen, maxPending)
            .put("discovery", discoveryAddress.toString());
    config.set("known", endpointList(view));
    return config;
  }

  /** Returns the configuration of one of several aggregators, by its number. */
  public ObjectNode configuration(int number, int instances, String listen, int maxPending) {
    ObjectNode config =
        configuration(
            "n" + number, listen, Long.toHexString(0x8c1f30d27a5be964L + number), maxPending);
    ((ObjectNode) config.path("settings"))
        .put("instances", instances)
        .put("selfIndex", number)
        .put("zone", number % zones.size());
    return config;
  }

  /**
   * Returns the configuration of a single aggregator with the query classes of a booking service.
   */
  public ObjectNode configuration(String name, String listen, String seed, int maxPending) {
    ObjectNode config =
        JSON.createObjectNode()
            .put("name", name)
            .put("listen", listen)
            .put("discovery", commonView.address().toString())
            .put("seed", seed);
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 2048);
    config.set("known", endpointList(commonView));
    ObjectNode settings =
        config
            .putObject("settings")
            .put("tick", 5.0)
            .put("instances", 1)
            .put("selfIndex", 0)
            .put("zone", 0);
    zones.forEach(settings.putArray("failureDomains")::add);
    ArrayNode classes = settings.putArray("requestClasses");
    addQueryClass(classes, "slot-search", "pure", 1);
    addQueryClass(classes, "slot-booking", "token", 2);
    addQueryClass(classes, "stock-report", "pure", 5);
    putDomain(settings);
    putPolicyLimits(settings, maxPending);
    putRules(settings);
    return config;
  }

  private static void addQueryClass(
      ArrayNode classes, String name, String effect, double priorityWeight) {
    classes
        .addObject()
        .put("name", name)
        .put("aim", 500)
        .put("deadline", 1500)
        .put("lateWorth", 0.3)
        .put("effect", effect)
        .put("dedupWindow", 5000)
        .put("worth", priorityWeight);
  }

  private void putDomain(ObjectNode settings) {
    ObjectNode domain =
        settings
            .putObject("domain")
            .put("cells", servers.size())
            .put("shards", servers.size())
            .put("width", 2);
    domain.putArray("minShare").add(1).add(1).add(0.8);
    domain.putArray("wholeAt").add(1).add(1).add(1);
    domain.putArray("classPartial").add(0.9).add(0.9).add(0.8);
  }

  private static void putPolicyLimits(ObjectNode settings, int maxPending) {
    settings
        .putObject("policyLimits")
        .put("connectTimeout", 250)
        .put("keepalive", 15000)
        .put("maxAttempts", 4)
        .put("maxOpen", maxPending)
        .put("maxRetryAfter", 2000)
        .put("mayCancel", true)
        .put("retryAfter", true)
        .put("secondCopies", false)
        .put("streamsPerConn", 100);
  }

  private static void putRules(ObjectNode settings) {
    settings
        .putObject("rules")
        .put("answerSlack", 20)
        .put("cold", RuleCheck.WARMUP_MS)
        .put("coldFrom", RuleCheck.WARMUP_START_FRACTION)
        .put("fall", RuleCheck.OVERLOAD_WINDOW_MS)
        .put("stopSendingWithin", 250)
        .put("tipMultiple", RuleCheck.OVERLOAD_MULTIPLE);
  }
}
