package bitternpulley.benchmark;

import bitternpulley.contracts.TenantIdentification;
import bitternpulley.emulator.Fleet;
import bitternpulley.faultinjection.Node;
import bitternpulley.faultinjection.Ports;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Measures the admission of three tenants that share one aggregator, over the platform protocol and
 * the search API. Four runs use the same seed: one with normal load, one in which a tenant asks for
 * ten times its share and retries, the same without contracts, and one in which a single tenant
 * asks for more than the capacity.
 */
final class MeasureContracts {
  private static final int CELLS = 6;
  private static final int CORES = 2;
  private static final int RUN_SECONDS = 7;

  /** The first second of a run warms up the aggregator and is not counted. */
  private static final int WARM_UP_SECONDS = 1;

  private static final int TIMEOUT_SECONDS = 40;
  private static final double LATENCY_OBJECTIVE_MS = 500;
  private static final double DEADLINE_MS = 1500;
  private static final int MAX_PENDING = 3000;
  private static final int SEARCH_PARTS = 4;

  /** Work of a part, in microseconds. */
  private static final int PART_WORK_MICROS = 10_000;

  /** Share of the capacity that the contract of tenant "appeal" guarantees. */
  private static final double APPEAL_SHARE = 0.4;

  private static final double APPEAL_PRIORITY_WEIGHT = 10;
  private static final String API_KEY = "booking:a-long-and-random-secret";
  private static final ObjectMapper JSON = new ObjectMapper();

  private record RunResult(
      TenantClients.Tally appeal,
      TenantClients.Tally stock,
      TenantClients.Tally booking,
      double capacityUsed,
      String accounts) {}

  private final long seed;
  private final EventLoop serverLoop = new EventLoop();
  private final Fleet fleet;
  private final double partsPerSecond;

  /**
   * Number of runs so far. Each run's aggregator has its own name, so that the rule check sees no
   * part twice.
   */
  private int runs;

  private MeasureContracts(long seed) throws IOException {
    this.seed = seed;
    this.fleet = new Fleet(serverLoop, CELLS, CORES);
    this.partsPerSecond = fleet.workMsPerSecond() * 1000 / PART_WORK_MICROS;
  }

  /**
   * Runs the measurement.
   *
   * @param args the seed, or nothing for seed 1
   */
  public static void main(String[] args) {
    MeasurementRunner.run(TIMEOUT_SECONDS, () -> measure(args));
  }

  private static void measure(String[] args) throws Exception {
    long seed = args.length > 0 && !args[0].isEmpty() ? Long.parseLong(args[0]) : 1;
    MeasureContracts measurement = new MeasureContracts(seed);
    double normalLoad = 0.55;
    RunResult normal = measurement.run("calm", true, normalLoad, true);
    RunResult overload = measurement.run("overrun", true, 10, true);
    RunResult noContracts = measurement.run("overrun, contracts off", false, 10, true);
    RunResult single = measurement.run("one team alone", true, 5, false);
    ObjectNode out = measurement.figures(normal, overload, noContracts, single);
    measurement
        .fleet
        .ruleCheck()
        .firstViolations()
        .forEach(violation -> System.out.println("broken: " + violation));
    System.out.println(out);
  }

  private ObjectNode figures(
      RunResult normal, RunResult overload, RunResult noContracts, RunResult single) {
    ObjectNode out = JSON.createObjectNode();
    out.put("others_kept_min", round(minKeptByOthers(overload, normal)));
    out.put(
        "others_worst5s_min",
        round(
            Math.min(
                minKeptOverFiveSeconds(overload.stock, normal.stock),
                minKeptOverFiveSeconds(overload.booking, normal.booking))));
    out.put(
        "overrunner_kept",
        round(
            Math.min(
                1,
                servedInTime(overload.appeal)
                    * SEARCH_PARTS
                    / (APPEAL_SHARE * partsPerSecond * (RUN_SECONDS - WARM_UP_SECONDS)))));
    out.put(
        "returned_served",
        round(
            overload.appeal.delayedRetries == 0
                ? 0
                : (double) overload.appeal.delayedRetriesServed / overload.appeal.delayedRetries));
    out.put("single_use", round(single.capacityUsed));
    out.put("rules_broken", fleet.ruleCheck().countViolations());
    out.put("others_kept_min_off", round(minKeptByOthers(noContracts, normal)));
    out.put("seed", seed);
    return out;
  }

  /**
   * Runs a new aggregator under load. Tenant "appeal" asks for {@code appealLoad} times its share;
   * the other tenants, if {@code withOthers}, ask for about half of theirs.
   */
  private RunResult run(String name, boolean withContracts, double appealLoad, boolean withOthers)
      throws Exception {
    HostPort platformAddress = new HostPort("127.0.0.1", Ports.reservePort());
    HostPort searchAddress = new HostPort("127.0.0.1", Ports.reservePort());
    EventLoop clientLoop = new EventLoop();
    ObjectNode configuration = configuration("n" + runs++, platformAddress);
    String script = script(searchAddress, withContracts);
    try (Node aggregator = new Node("n" + runs, configuration, script).start().awaitReady()) {
      TenantClients appeal = appealClients(clientLoop, platformAddress, appealLoad);
      TenantClients stock = stockClients(clientLoop, platformAddress);
      TenantClients booking = bookingClients(clientLoop, searchAddress);
      double workBefore = fleet.workDoneMs();
      appeal.start();
      if (withOthers) {
        stock.start();
        booking.start();
      }
      TimeUnit.MILLISECONDS.sleep(1000L * WARM_UP_SECONDS);
      double workAfterWarmUp = fleet.workDoneMs();
      TimeUnit.MILLISECONDS.sleep(1000L * (RUN_SECONDS - WARM_UP_SECONDS));
      double capacityUsed =
          (fleet.workDoneMs() - workAfterWarmUp)
              / (fleet.workMsPerSecond() * (RUN_SECONDS - WARM_UP_SECONDS));
      String accounts = aggregator.callAdmin("accounts");
      TimeUnit.MILLISECONDS.sleep((long) DEADLINE_MS / 3);
      RunResult result =
          new RunResult(appeal.tally(), stock.tally(), booking.tally(), capacityUsed, accounts);
      printSummary(name, result, fleet.workDoneMs() - workBefore);
      System.out.println(accounts);
      printErrors(aggregator);
      return result;
    }
  }

  private ObjectNode configuration(String name, HostPort address) {
    ObjectNode configuration =
        fleet.configuration(name, address.toString(), "8c1f30d27a5be964", MAX_PENDING);
    // The searches of tenant "appeal" have a higher priority weight than all other queries; if
    // priority weights alone decided, they would take the whole capacity.
    ((ObjectNode) configuration.at("/settings/requestClasses/0"))
        .put("worth", APPEAL_PRIORITY_WEIGHT);
    return configuration;
  }

  private TenantClients appealClients(EventLoop loop, HostPort address, double load) {
    return new TenantClients(
        loop,
        address,
        seed,
        load * APPEAL_SHARE * partsPerSecond / SEARCH_PARTS,
        SEARCH_PARTS,
        TenantClients.RetryBehavior.ALTERNATING,
        LATENCY_OBJECTIVE_MS,
        DEADLINE_MS,
        RUN_SECONDS,
        WARM_UP_SECONDS,
        number -> platformRequest("slot-search", "a" + seed + "-" + number, number, SEARCH_PARTS));
  }

  private TenantClients stockClients(EventLoop loop, HostPort address) {
    return new TenantClients(
        loop,
        address,
        seed + 1,
        0.5 * 0.35 * partsPerSecond / CELLS,
        CELLS,
        TenantClients.RetryBehavior.AFTER_RETRY_AFTER,
        LATENCY_OBJECTIVE_MS,
        DEADLINE_MS,
        RUN_SECONDS,
        WARM_UP_SECONDS,
        number -> platformRequest("stock-report", "s" + seed + "-" + number, 0, CELLS));
  }

  private TenantClients bookingClients(EventLoop loop, HostPort address) {
    return new TenantClients(
        loop,
        address,
        seed + 2,
        0.5 * 0.25 * partsPerSecond,
        1,
        TenantClients.RetryBehavior.AFTER_RETRY_AFTER,
        LATENCY_OBJECTIVE_MS,
        DEADLINE_MS,
        RUN_SECONDS,
        WARM_UP_SECONDS,
        number -> searchRequest(number));
  }

  private static void printSummary(String name, RunResult result, double workMs) {
    System.out.println(
        String.format(
            Locale.ROOT,
            "%s: used %.2f of the capacity (%.0f ms of work); served in time / due: appeal %s,"
                + " stock %s, booking %s; appeal: %d attempts for %d queries, %d retries after"
                + " Retry-After, %d of them served",
            name,
            result.capacityUsed,
            workMs,
            servedOfDue(result.appeal),
            servedOfDue(result.stock),
            servedOfDue(result.booking),
            result.appeal.attempts,
            result.appeal.queries,
            result.appeal.delayedRetries,
            result.appeal.delayedRetriesServed));
  }

  private static void printErrors(Node aggregator) throws IOException {
    aggregator
        .log()
        .lines()
        .filter(
            line -> line.contains("ERROR") || line.contains("SEVERE") || line.contains("Exception"))
        .limit(5)
        .forEach(System.out::println);
  }

  private static String servedOfDue(TenantClients.Tally tally) {
    return String.format(
        Locale.ROOT,
        "%.0f/%.0f",
        servedInTime(tally),
        tally.sum(tally.due, WARM_UP_SECONDS, RUN_SECONDS));
  }

  private static double servedInTime(TenantClients.Tally tally) {
    return tally.sum(tally.servedInTime, WARM_UP_SECONDS, RUN_SECONDS);
  }

  /** Returns the lower of the kept fractions of tenants "stock" and "booking". */
  private static double minKeptByOthers(RunResult result, RunResult normal) {
    return Math.min(kept(result.stock, normal.stock), kept(result.booking, normal.booking));
  }

  /** Returns the kept fraction: queries served in time as a fraction of those at normal load. */
  private static double kept(TenantClients.Tally tally, TenantClients.Tally normal) {
    return servedInTime(tally) / Math.max(1, servedInTime(normal));
  }

  /** Returns the lowest kept fraction of a tenant in any five consecutive seconds. */
  private static double minKeptOverFiveSeconds(
      TenantClients.Tally tally, TenantClients.Tally normal) {
    double lowest = Double.POSITIVE_INFINITY;
    for (int from = WARM_UP_SECONDS; from + 5 <= RUN_SECONDS; from++) {
      double servedNormally = normal.sum(normal.servedInTime, from, from + 5);
      lowest =
          Math.min(
              lowest, tally.sum(tally.servedInTime, from, from + 5) / Math.max(1, servedNormally));
    }
    return lowest;
  }

  private static double round(double value) {
    return Math.round(value * 1000) / 1000.0;
  }

  private String platformRequest(String queryClass, String id, int firstShard, int partCount) {
    StringBuilder slices = new StringBuilder();
    for (int part = 0; part < partCount; part++) {
      slices
          .append(part == 0 ? "" : ",")
          .append("{\"slice\":")
          .append((firstShard + part) % CELLS)
          .append(",\"mass\":")
          .append(1.0 / partCount)
          .append('}');
    }
    String body =
        "{\"slices\":[" + slices + "],\"filter\":\"w=" + PART_WORK_MICROS + " " + id + "\"}";
    return "POST /"
        + queryClass
        + " HTTP/1.1\r\nHost: b\r\nRequest-Id: "
        + id
        + "-"
        + Long.toHexString(System.nanoTime())
        + "\r\nRequest-Timeout: "
        + DEADLINE_MS / 1000
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String searchRequest(int number) {
    String body =
        "{\"query\":{\"match\":{\"slot\":\"w=" + PART_WORK_MICROS + " " + number + "\"}}}";
    return "POST /bookings/_search?preference=_shards:"
        + number % CELLS
        + " HTTP/1.1\r\nHost: b\r\nAuthorization: ApiKey "
        + Base64.getEncoder().encodeToString(API_KEY.getBytes(StandardCharsets.UTF_8))
        + "\r\nIdempotency-Key: b"
        + seed
        + "-"
        + number
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String script(HostPort searchAddress, boolean withContracts) {
    byte[] salt = {1, 2, 3, 4, 5, 6, 7, 8};
    String hash =
        HexFormat.of()
            .formatHex(
                TenantIdentification.hash(
                    salt, "a-long-and-random-secret".getBytes(StandardCharsets.UTF_8)));
    List<String> lines =
        List.of(
            "opensearch(listen = \""
                + searchAddress
                + "\", server_port = "
                + fleet.searchPort()
                + ", indices = {",
            "  \"bookings\": {\"class\": \"slot-booking\"},",
            "})",
            "accounts(list = True)");
    String contracts =
        String.join(
            "\n",
            "contract(id = \"appeal\", share = 0.4, platform = [\"slot-search\"],"
                + " classes = {\"slot-search\": terms()})",
            "contract(id = \"stock\", share = 0.35, platform = [\"stock-report\"],"
                + " classes = {\"stock-report\": terms()})",
            "contract(id = \"booking\", share = 0.25,"
                + " classes = {\"slot-booking\": terms(worth = 2)}, keys = [",
            "  {\"id\": \"booking\", \"salt\": \"0102030405060708\", \"sha256\": \""
                + hash
                + "\"},",
            "])");
    return String.join("\n", lines) + "\n" + (withContracts ? contracts + "\n" : "");
  }
}
