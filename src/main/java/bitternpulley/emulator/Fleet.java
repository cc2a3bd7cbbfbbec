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
import java.util.function.Function;

/**
 * Slot servers in a ring over some zones, discovery that knows them, and the settings of a site
 * that has them.
 */
public final class Fleet {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String HOSTS = "127.0.3.";

  private final List<SlotServer> servers = new ArrayList<>();
  private final RuleCheck rules = new RuleCheck();
  private final int cores;
  private final int searchPort;
  private final List<String> zones;
  private final View common;
  private final List<View> views = new java.util.concurrent.CopyOnWriteArrayList<>();
  private final EventLoop loop;
  private final Map<SlotServer, String> phases = new ConcurrentHashMap<>();
  private final Map<SlotServer, Long> startedAt = new ConcurrentHashMap<>();
  private volatile int revision = 1;

  /** Discovery as one aggregator has it: with addresses of its own for each server. */
  public final class View {
    private final Function<SlotServer, HostPort> addresses;
    private final DiscoveryService watches;
    private final HostPort at;

    private View(Function<SlotServer, HostPort> addresses) throws IOException {
      this.addresses = addresses;
      watches = new DiscoveryService(loop, () -> list(this).toString());
      at = watches.listen("127.0.0.1");
    }

    /** Where it is watched. */
    public HostPort at() {
      return at;
    }
  }

  /** Starts {@code cells} servers of so many cores each, in two zones by turns. */
  public Fleet(EventLoop loop, int cells, int cores) throws IOException {
    this(loop, cells, cores, List.of("gulberg", "johar"));
  }

  /**
   * Starts {@code cells} servers of so many cores each, in these zones by turns; every section is
   * held by two of them.
   */
  public Fleet(EventLoop loop, int cells, int cores, List<String> zones) throws IOException {
    this.cores = cores;
    this.zones = List.copyOf(zones);
    searchPort = freePort(cells);
    for (int i = 0; i < cells; i++) {
      SlotServer server = new SlotServer("s" + i, i, cells, cores, loop, rules);
      server.listen(HOSTS + (i + 1), searchPort);
      servers.add(server);
    }
    this.loop = loop;
    common = view(SlotServer::frames);
  }

  /** Discovery that names each server at an address of this view's own. */
  public View view(Function<SlotServer, HostPort> addresses) throws IOException {
    View view = new View(addresses);
    views.add(view);
    return view;
  }

  /** The zones, by number. */
  public List<String> zones() {
    return zones;
  }

  /** The number of the zone that a server stands in. */
  public int zone(SlotServer server) {
    return server.cell() % zones.size();
  }

  /** A port that is free on every server's host just now. */
  private static int freePort(int cells) throws IOException {
    IOException last = null;
    for (int attempt = 0; attempt < 20; attempt++) {
      int port;
      try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByName(HOSTS + 1))) {
        port = any.getLocalPort();
      }
      try {
        for (int i = 1; i < cells; i++) {
          new ServerSocket(port, 1, InetAddress.getByName(HOSTS + (i + 1))).close();
        }
        return port;
      } catch (IOException e) {
        last = e;
      }
    }
    throw last;
  }

  public List<SlotServer> servers() {
    return servers;
  }

  public RuleCheck rules() {
    return rules;
  }

  public HostPort discovery() {
    return common.at();
  }

  /** The port at which every server speaks the search API. */
  public int searchPort() {
    return searchPort;
  }

  /** Ms of work that all cores do in a second. */
  public double workPerSecond() {
    return 1000.0 * cores * servers.size();
  }

  /** Ms of work that was finished so far. */
  public double workDone() {
    return servers.stream().mapToDouble(SlotServer::workDone).sum();
  }

  private ObjectNode list(View view) {
    ObjectNode list = JSON.createObjectNode().put("revision", revision).put("complete", true);
    ArrayNode members = list.putArray("members");
    servers.forEach(s -> entry(members, s, view));
    return list;
  }

  /**
   * A new process of a server: cold, as the settings' rules have it, and checked for what it is
   * sent until it is warm.
   */
  public void restart(SlotServer server) {
    startedAt.put(server, System.currentTimeMillis());
    rules.cold(server.id(), cores, System.nanoTime() / 1e6);
    tell(server, "up");
  }

  /** Has discovery tell all that watch it what a server is from now on: up, draining or removed. */
  public void tell(SlotServer server, String phase) {
    server.drains(!phase.equals("up"));
    phases.put(server, phase);
    int next = ++revision;
    for (View view : views) {
      ObjectNode change = JSON.createObjectNode().put("revision", next).put("complete", false);
      entry(change.putArray("members"), server, view);
      loop.execute(() -> view.watches.tell(change.toString()));
    }
  }

  private void entry(ArrayNode members, SlotServer s, View view) {
    members
        .addObject()
        .put("id", s.id())
        .put("host_port", view.addresses.apply(s).toString())
        .put("locality", zones.get(zone(s)))
        .put("cell", s.cell())
        .put("phase", phases.getOrDefault(s, "up"))
        .put("size", 1.0)
        .put("up_since_ms", startedAt.getOrDefault(s, 0L));
  }

  /**
   * The configuration of one of several aggregators, in its zone, that has discovery at an address
   * of its own.
   */
  public ObjectNode configuration(
      int number, int instances, String listen, int holds, View view, HostPort discovery) {
    ObjectNode config =
        configuration(number, instances, listen, holds).put("discovery", discovery.toString());
    config.set("known", list(view));
    return config;
  }

  /** One of several aggregators' configuration, with its number among them. */
  public ObjectNode configuration(int number, int instances, String listen, int holds) {
    ObjectNode config =
        configuration("n" + number, listen, Long.toHexString(0x8c1f30d27a5be964L + number), holds);
    ((ObjectNode) config.path("settings"))
        .put("instances", instances)
        .put("selfIndex", number)
        .put("zone", number % zones.size());
    return config;
  }

  /** The aggregator's configuration: three classes of query, as a booking service has them. */
  public ObjectNode configuration(String name, String listen, String seed, int holds) {
    ObjectNode config =
        JSON.createObjectNode()
            .put("name", name)
            .put("listen", listen)
            .put("discovery", common.at().toString())
            .put("seed", seed);
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 2048);
    config.set("known", list(common));
    ObjectNode s =
        config
            .putObject("settings")
            .put("tick", 5.0)
            .put("instances", 1)
            .put("selfIndex", 0)
            .put("zone", 0);
    zones.forEach(s.putArray("failureDomains")::add);
    ArrayNode classes = s.putArray("requestClasses");
    queryClass(classes, "slot-search", "pure", 1);
    queryClass(classes, "slot-booking", "token", 2);
    queryClass(classes, "stock-report", "pure", 5);
    ObjectNode domain =
        s.putObject("domain")
            .put("cells", servers.size())
            .put("shards", servers.size())
            .put("width", 2);
    domain.putArray("minShare").add(1).add(1).add(0.8);
    domain.putArray("wholeAt").add(1).add(1).add(1);
    domain.putArray("classPartial").add(0.9).add(0.9).add(0.8);
    s.putObject("policyLimits")
        .put("connectTimeout", 250)
        .put("keepalive", 15000)
        .put("maxAttempts", 4)
        .put("maxOpen", holds)
        .put("maxRetryAfter", 2000)
        .put("mayCancel", true)
        .put("retryAfter", true)
        .put("secondCopies", false)
        .put("streamsPerConn", 100);
    s.putObject("rules")
        .put("answerSlack", 20)
        .put("cold", RuleCheck.COLD_TIME)
        .put("coldFrom", RuleCheck.COLD_FROM)
        .put("fall", RuleCheck.FALL)
        .put("stopSendingWithin", 250)
        .put("tipMultiple", RuleCheck.TIP);
    return config;
  }

  private static void queryClass(ArrayNode classes, String name, String effect, double worth) {
    classes
        .addObject()
        .put("name", name)
        .put("aim", 500)
        .put("deadline", 1500)
        .put("lateWorth", 0.3)
        .put("effect", effect)
        .put("dedupWindow", 5000)
        .put("worth", worth);
  }
}
