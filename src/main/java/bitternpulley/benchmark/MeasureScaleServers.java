package bitternpulley.benchmark;

import bitternpulley.emulator.HollowServers;
import bitternpulley.faultinjection.Node;
import bitternpulley.faultinjection.Ports;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * One real aggregator before a growing number of hollow slot servers, one for each section: time
 * until ready, memory, descriptors, links, processor time a part, and latency at a fixed rate. The
 * last line is one JSON object with each size's figures and the lines fitted to them. See
 * docs/CAPACITY.md.
 */
final class MeasureScaleServers {
  private static final int MOST_SECONDS = 300;

  /**
   * Descriptors that the aggregator is told it has: a third of them is more than one link to each
   * server.
   */
  private static final int SOCKETS = 12_000;

  private static final int INSTANCES = 530;

  /** Event loops of the hollow servers. */
  private static final int LOOPS = 2;

  private static final int WARM_UP = 200;
  private static final int QUERIES = 400;
  private static final double PER_SECOND = 25;
  private static final double AIM_MS = 500;
  private static final double DEADLINE_MS = 1500;

  /** Ms for which a ready aggregator may open its links before the load begins. */
  private static final long LINKS_WITHIN_MS = 8000;

  private final int parts;
  private final ObjectMapper json = new ObjectMapper();

  private MeasureScaleServers(int parts) {
    this.parts = parts;
  }

  /** Arguments: parts of a query, then the numbers of servers. */
  public static void main(String[] args) {
    int parts = Integer.parseInt(args[0]);
    List<Integer> sizes =
        IntStream.range(1, args.length).mapToObj(i -> Integer.parseInt(args[i])).toList();
    MeasurementRunner.run(
        MOST_SECONDS, () -> System.out.println(new MeasureScaleServers(parts).measure(sizes)));
  }

  private ObjectNode measure(List<Integer> sizes) throws Exception {
    List<ObjectNode> rows = new ArrayList<>();
    for (int size : sizes) {
      ObjectNode row = measure(size);
      System.out.println(row);
      rows.add(row);
    }
    ObjectNode out =
        json.createObjectNode()
            .put("measure", "scale-servers")
            .put("parts_per_query", parts)
            .put("queries_per_second", PER_SECOND);
    out.putArray("sizes").addAll(rows);
    ObjectNode fits = out.putObject("per_server");
    for (String figure :
        List.of("ready_ms", "resident_kb", "descriptors", "cpu_us_per_part", "p50_ms", "p99_ms")) {
      fit(fits.putObject(figure), rows, figure);
    }
    return out;
  }

  /** Least squares of a figure by the number of servers. */
  private static void fit(ObjectNode into, List<ObjectNode> rows, String figure) {
    SimpleRegression line = new SimpleRegression();
    rows.forEach(r -> line.addData(r.path("servers").asDouble(), r.path(figure).asDouble()));
    if (line.getN() > 2) {
      into.put("slope", line.getSlope())
          .put("slope_error", line.getSlopeStdErr())
          .put("at_zero", line.getIntercept())
          .put("residual", Math.sqrt(line.getMeanSquareError()))
          .put("points", line.getN());
    }
  }

  private ObjectNode measure(int size) throws Exception {
    HollowServers servers = new HollowServers(size, LOOPS);
    try (Node node = new Node("n0", configuration(servers, size), null)) {
      long from = System.nanoTime();
      node.start().awaitReady();
      double readyMs = (System.nanoTime() - from) / 1e6;
      int links = awaitLinks(servers, size);
      ProcessUse rest = ProcessUse.of(node.pid());
      Random random = new Random(size);
      OpenLoopLoad warm = new OpenLoopLoad(node.front(), n -> query(n, random.nextInt(size), size));
      warm.run(0, WARM_UP, PER_SECOND);
      ProcessUse before = ProcessUse.of(node.pid());
      long partsBefore = servers.parts();
      OpenLoopLoad load = new OpenLoopLoad(node.front(), n -> query(n, random.nextInt(size), size));
      load.run(WARM_UP, QUERIES, PER_SECOND);
      ProcessUse after = ProcessUse.of(node.pid());
      long sent = servers.parts() - partsBefore;
      return json.createObjectNode()
          .put("servers", size)
          .put("ready_ms", readyMs)
          .put("links_at_rest", links)
          .put("resident_kb_at_rest", rest.residentKb())
          .put("resident_kb", after.mostResidentKb())
          .put("descriptors", after.descriptors())
          .put("links", servers.open())
          .put("parts", sent)
          .put("served", load.served())
          .put("asked", QUERIES)
          .put("cpu_us_per_part", sent == 0 ? 0 : 1000 * (after.cpuMs() - before.cpuMs()) / sent)
          .put("cpu_ms_rest", rest.cpuMs())
          .put("p50_ms", load.micros().getValueAtPercentile(50) / 1000.0)
          .put("p99_ms", load.micros().getValueAtPercentile(99) / 1000.0);
    }
  }

  private static int awaitLinks(HollowServers servers, int size) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LINKS_WITHIN_MS);
    int most = 0;
    while (most < size && System.nanoTime() < end) {
      most = Math.max(most, servers.open());
      TimeUnit.MILLISECONDS.sleep(10);
    }
    return most;
  }

  private String query(int number, int first, int size) {
    String slices =
        IntStream.range(0, Math.min(parts, size))
            .mapToObj(
                i ->
                    "{\"slice\":"
                        + (first + i) % size
                        + ",\"mass\":"
                        + 1.0 / Math.min(parts, size)
                        + "}")
            .collect(Collectors.joining(","));
    String body = "{\"slices\":[" + slices + "],\"filter\":\"c41e77d0\"}";
    return "POST /find HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: q"
        + number
        + "\r\nRequest-Timeout: "
        + DEADLINE_MS / 1000
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private ObjectNode configuration(HollowServers servers, int size) throws IOException {
    ObjectNode config =
        json.createObjectNode()
            .put("name", "n0")
            .put("listen", "127.0.0.1:" + Ports.free())
            .put("discovery", servers.discovery().toString())
            .put("seed", "8c1f30d27a5be964");
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", SOCKETS);
    config.set("known", servers.list());
    ObjectNode s =
        config
            .putObject("settings")
            .put("tick", 5.0)
            .put("instances", INSTANCES)
            .put("selfIndex", 0)
            .put("zone", 0);
    s.putArray("failureDomains").add(servers.zone());
    s.putArray("requestClasses")
        .addObject()
        .put("name", "find")
        .put("aim", AIM_MS)
        .put("deadline", DEADLINE_MS)
        .put("lateWorth", 0.3)
        .put("effect", "pure")
        .put("worth", 1);
    ObjectNode domain =
        s.putObject("domain").put("cells", size).put("shards", size).put("width", 1);
    for (String share : List.of("minShare", "wholeAt", "classPartial")) {
      ArrayNode of = domain.putArray(share);
      of.add(1);
    }
    s.putObject("policyLimits")
        .put("connectTimeout", 250)
        .put("keepalive", 15000)
        .put("maxAttempts", 4)
        .put("maxOpen", 100 * (parts + 1))
        .put("maxRetryAfter", 2000)
        .put("mayCancel", true)
        .put("retryAfter", true)
        .put("secondCopies", false)
        .put("streamsPerConn", 100);
    s.putObject("rules")
        .put("answerSlack", 20)
        .put("cold", 17000)
        .put("coldFrom", 0.2)
        .put("fall", 1000)
        .put("stopSendingWithin", 250)
        .put("tipMultiple", 2);
    s.putObject("costs").put("handshake", 0.02);
    return config;
  }
}
