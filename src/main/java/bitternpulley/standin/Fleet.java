package bitternpulley.standin;

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

/** Slot servers in a ring over two data centres, discovery that knows them, and the settings of a site that has them. */
public final class Fleet {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String HOSTS = "127.0.3.";

  private final List<SlotServer> servers = new ArrayList<>();
  private final RuleCheck rules = new RuleCheck();
  private final int cores;
  private final int searchPort;
  private final HostPort discovery;
  private final DiscoveryService watches;
  private final EventLoop loop;
  private final Map<SlotServer, String> phases = new ConcurrentHashMap<>();
  private volatile int revision = 1;

  /** Starts {@code cells} servers of so many cores each; every section is held by two of them. */
  public Fleet(EventLoop loop, int cells, int cores) throws IOException {
    this.cores = cores;
    searchPort = freePort(cells);
    for (int i = 0; i < cells; i++) {
      SlotServer server = new SlotServer("s" + i, i, cells, cores, loop, rules);
      server.listen(HOSTS + (i + 1), searchPort);
      servers.add(server);
    }
    this.loop = loop;
    watches = new DiscoveryService(loop, () -> list().toString());
    discovery = watches.listen("127.0.0.1");
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
    return discovery;
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

  private ObjectNode list() {
    ObjectNode list = JSON.createObjectNode().put("revision", revision).put("complete", true);
    ArrayNode members = list.putArray("members");
    servers.forEach(s -> entry(members, s));
    return list;
  }

  /** Has discovery tell all that watch it what a server is from now on: up, draining or removed. */
  public void tell(SlotServer server, String phase) {
    server.drains(!phase.equals("up"));
    phases.put(server, phase);
    ObjectNode change = JSON.createObjectNode().put("revision", ++revision).put("complete", false);
    entry(change.putArray("members"), server);
    loop.execute(() -> watches.tell(change.toString()));
  }

  private void entry(ArrayNode members, SlotServer s) {
    members.addObject().put("id", s.id()).put("host_port", s.frames().toString())
        .put("locality", s.cell() % 2 == 0 ? "gulberg" : "johar").put("cell", s.cell())
        .put("phase", phases.getOrDefault(s, "up")).put("size", 1.0).put("up_since_ms", 0);
  }

  /** One of several aggregators' configuration, with its number among them. */
  public ObjectNode configuration(int number, int instances, String listen, int holds) {
    ObjectNode config = configuration("n" + number, listen, Long.toHexString(0x8c1f30d27a5be964L + number), holds);
    ((ObjectNode) config.path("settings")).put("instances", instances).put("selfIndex", number).put("zone", number % 2);
    return config;
  }

  /** The aggregator's configuration: three classes of query, as a booking service has them. */
  public ObjectNode configuration(String name, String listen, String seed, int holds) {
    ObjectNode config = JSON.createObjectNode().put("name", name).put("listen", listen)
        .put("discovery", discovery.toString()).put("seed", seed);
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 2048);
    config.set("known", list());
    ObjectNode s = config.putObject("settings").put("tick", 5.0).put("instances", 1).put("selfIndex", 0).put("zone", 0);
    s.putArray("failureDomains").add("gulberg").add("johar");
    ArrayNode classes = s.putArray("requestClasses");
    queryClass(classes, "slot-search", "pure", 1);
    queryClass(classes, "slot-booking", "token", 2);
    queryClass(classes, "stock-report", "pure", 5);
    ObjectNode domain = s.putObject("domain").put("cells", servers.size()).put("shards", servers.size()).put("width", 2);
    domain.putArray("minShare").add(1).add(1).add(0.8);
    domain.putArray("wholeAt").add(1).add(1).add(1);
    domain.putArray("classPartial").add(0.9).add(0.9).add(0.8);
    s.putObject("policyLimits").put("connectTimeout", 250).put("keepalive", 15000).put("maxAttempts", 4)
        .put("maxOpen", holds).put("maxRetryAfter", 2000).put("mayCancel", true).put("retryAfter", true)
        .put("secondCopies", false).put("streamsPerConn", 100);
    s.putObject("rules").put("answerSlack", 20).put("cold", 17000).put("coldFrom", 0.2).put("fall", 1000)
        .put("stopSendingWithin", 250).put("tipMultiple", 2);
    return config;
  }

  private static void queryClass(ArrayNode classes, String name, String effect, double worth) {
    classes.addObject().put("name", name).put("aim", 500).put("deadline", 1500).put("lateWorth", 0.3).put("effect", effect)
        .put("dedupWindow", 5000).put("worth", worth);
  }
}
