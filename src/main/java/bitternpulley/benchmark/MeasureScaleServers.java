package bitternpulley.benchmark;

import bitternpulley.emulator.StubSlotServers;
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
 * Measures one real aggregator with a growing number of emulated slot servers that do no work, one
 * for each shard: time until ready, memory, descriptors, connections, processor time per part, and
 * latency at a fixed rate. The last line of output is one JSON object with the figures of each size
 * and the lines fitted to them. See docs/CAPACITY.md.
 */
final class MeasureScaleServers {
  private static final int TIMEOUT_SECONDS = 300;

  /**
   * Descriptor limit in the aggregator's configuration. The aggregator uses a third of the
   * descriptors for connections to slot servers, which is more than one for each server.
   */
  private static final int SOCKETS = 12_000;

  private static final int INSTANCES = 530;

  /** Number of event loops of the emulated servers. */
  private static final int EVENT_LOOPS = 2;

  private static final int WARM_UP_QUERIES = 200;
  private static final int QUERIES = 400;
  private static final double QUERIES_PER_SECOND = 25;
  private static final double LATENCY_OBJECTIVE_MS = 500;
  private static final double DEADLINE_MS = 1500;

  /** Time in ms that a ready aggregator has to open its connections before the load starts. */
  private static final long CONNECT_TIME_MS = 8000;

  private final int partCount;
  private final ObjectMapper json = new ObjectMapper();

  private MeasureScaleServers(int partCount) {
    this.partCount = partCount;
  }

  /**
   * Runs the measurement.
   *
   * @param args the number of parts of a query, then the numbers of servers
   */
  public static void main(String[] args) {
    int partCount = Integer.parseInt(args[0]);
    List<Integer> sizes =
        IntStream.range(1, args.length).mapToObj(index -> Integer.parseInt(args[index])).toList();
    MeasurementRunner.run(
        TIMEOUT_SECONDS,
        () -> System.out.println(new MeasureScaleServers(partCount).measure(sizes)));
  }

  private ObjectNode measure(List<Integer> sizes) throws Exception {
    List<ObjectNode> rows = new ArrayList<>();
    for (int size : sizes) {
      ObjectNode row = measureSize(size);
      System.out.println(row);
      rows.add(row);
    }
    ObjectNode out =
        json.createObjectNode()
            .put("measure", "scale-servers")
            .put("parts_per_query", partCount)
            .put("queries_per_second", QUERIES_PER_SECOND);
    out.putArray("sizes").addAll(rows);
    ObjectNode fits = out.putObject("per_server");
    for (String figure :
        List.of("ready_ms", "resident_kb", "descriptors", "cpu_us_per_part", "p50_ms", "p99_ms")) {
      putFit(fits.putObject(figure), rows, figure);
    }
    return out;
  }

  /**
   * Fits a line to a figure over the number of servers by least squares if there are at least three
   * rows.
   */
  private static void putFit(ObjectNode out, List<ObjectNode> rows, String figure) {
    SimpleRegression line = new SimpleRegression();
    rows.forEach(row -> line.addData(row.path("servers").asDouble(), row.path(figure).asDouble()));
    if (line.getN() > 2) {
      out.put("slope", line.getSlope())
          .put("slope_error", line.getSlopeStdErr())
          .put("at_zero", line.getIntercept())
          .put("residual", Math.sqrt(line.getMeanSquareError()))
          .put("points", line.getN());
    }
  }

  private ObjectNode measureSize(int size) throws Exception {
    StubSlotServers servers = new StubSlotServers(size, EVENT_LOOPS);
    try (Node node = new Node("n0", configuration(servers, size), null)) {
      long startNanos = System.nanoTime();
      node.start().awaitReady();
      double readyMs = (System.nanoTime() - startNanos) / 1e6;
      int connectionsAtRest = awaitConnections(servers, size);
      ProcessUsage atRest = ProcessUsage.ofProcess(node.pid());
      Random random = new Random(size);
      OpenLoopLoad warmUp =
          new OpenLoopLoad(
              node.queryAddress(), number -> request(number, random.nextInt(size), size));
      warmUp.run(0, WARM_UP_QUERIES, QUERIES_PER_SECOND);
      ProcessUsage before = ProcessUsage.ofProcess(node.pid());
      long partsBefore = servers.countAnsweredParts();
      OpenLoopLoad load =
          new OpenLoopLoad(
              node.queryAddress(), number -> request(number, random.nextInt(size), size));
      load.run(WARM_UP_QUERIES, QUERIES, QUERIES_PER_SECOND);
      ProcessUsage after = ProcessUsage.ofProcess(node.pid());
      long answeredParts = servers.countAnsweredParts() - partsBefore;
      return json.createObjectNode()
          .put("servers", size)
          .put("ready_ms", readyMs)
          .put("links_at_rest", connectionsAtRest)
          .put("resident_kb_at_rest", atRest.residentKb())
          .put("resident_kb", after.peakResidentKb())
          .put("descriptors", after.descriptors())
          .put("links", servers.countOpenConnections())
          .put("parts", answeredParts)
          .put("served", load.served())
          .put("asked", QUERIES)
          .put(
              "cpu_us_per_part",
              answeredParts == 0 ? 0 : 1000 * (after.cpuMs() - before.cpuMs()) / answeredParts)
          .put("cpu_ms_rest", atRest.cpuMs())
          .put("p50_ms", load.latencyMicros().getValueAtPercentile(50) / 1000.0)
          .put("p99_ms", load.latencyMicros().getValueAtPercentile(99) / 1000.0);
    }
  }

  /**
   * Waits until one connection per server has been open at the same time, for at most {@link
   * #CONNECT_TIME_MS}, and returns the highest number of open connections seen.
   */
  private static int awaitConnections(StubSlotServers servers, int size)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECT_TIME_MS);
    int highest = 0;
    while (highest < size && System.nanoTime() < endNanos) {
      highest = Math.max(highest, servers.countOpenConnections());
      TimeUnit.MILLISECONDS.sleep(10);
    }
    return highest;
  }

  private String request(int number, int firstShard, int size) {
    String slices =
        IntStream.range(0, Math.min(partCount, size))
            .mapToObj(
                part ->
                    "{\"slice\":"
                        + (firstShard + part) % size
                        + ",\"mass\":"
                        + 1.0 / Math.min(partCount, size)
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

  private ObjectNode configuration(StubSlotServers servers, int size) throws IOException {
    ObjectNode config =
        json.createObjectNode()
            .put("name", "n0")
            .put("listen", "127.0.0.1:" + Ports.reservePort())
            .put("discovery", servers.discoveryAddress().toString())
            .put("seed", "8c1f30d27a5be964");
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", SOCKETS);
    config.set("known", servers.endpointList());
    ObjectNode settings =
        config
            .putObject("settings")
            .put("tick", 5.0)
            .put("instances", INSTANCES)
            .put("selfIndex", 0)
            .put("zone", 0);
    settings.putArray("failureDomains").add(servers.zone());
    putQueryClass(settings);
    putDomain(settings, size);
    putPolicyLimits(settings);
    putRules(settings);
    settings.putObject("costs").put("handshake", 0.02);
    return config;
  }

  private static void putQueryClass(ObjectNode settings) {
    settings
        .putArray("requestClasses")
        .addObject()
        .put("name", "find")
        .put("aim", LATENCY_OBJECTIVE_MS)
        .put("deadline", DEADLINE_MS)
        .put("lateWorth", 0.3)
        .put("effect", "pure")
        .put("worth", 1);
  }

  private static void putDomain(ObjectNode settings, int size) {
    ObjectNode domain =
        settings.putObject("domain").put("cells", size).put("shards", size).put("width", 1);
    for (String share : List.of("minShare", "wholeAt", "classPartial")) {
      ArrayNode shareByClass = domain.putArray(share);
      shareByClass.add(1);
    }
  }

  private void putPolicyLimits(ObjectNode settings) {
    settings
        .putObject("policyLimits")
        .put("connectTimeout", 250)
        .put("keepalive", 15000)
        .put("maxAttempts", 4)
        .put("maxOpen", 100 * (partCount + 1))
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
        .put("cold", 17000)
        .put("coldFrom", 0.2)
        .put("fall", 1000)
        .put("stopSendingWithin", 250)
        .put("tipMultiple", 2);
  }
}
