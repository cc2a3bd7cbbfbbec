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
 * Three teams share one aggregator, over both fronts. Four days of the same seed: a calm one, the
 * same with one team ten times over its share and retrying, that without contracts, and one on
 * which a single team asks for more than there is.
 */
final class MeasureContracts {
  private static final int CELLS = 6;
  private static final int CORES = 2;
  private static final int SECONDS = 7;

  /** The first second of a day is the program's warming up and counts on no side. */
  private static final int WARM = 1;

  private static final int MOST_SECONDS = 40;
  private static final double AIM = 500;
  private static final double DEADLINE = 1500;
  private static final int HOLDS = 3000;
  private static final int SEARCH_PARTS = 4;

  /** Microseconds of work of a part, and shares of capacity. */
  private static final int WORK = 10_000;

  private static final double APPEAL_SHARE = 0.4;
  private static final double APPEAL_WORTH = 10;
  private static final String KEY = "booking:a-long-and-random-secret";
  private static final ObjectMapper JSON = new ObjectMapper();

  private record Day(
      Team.Tally appeal, Team.Tally stock, Team.Tally booking, double workShare, String accounts) {}

  private final long seed;
  private final EventLoop serverLoop = new EventLoop();
  private final Fleet fleet;
  private final double partsPerSecond;

  /** Names the program of each day apart, so that the rules see no part twice. */
  private int days;

  private MeasureContracts(long seed) throws IOException {
    this.seed = seed;
    this.fleet = new Fleet(serverLoop, CELLS, CORES);
    this.partsPerSecond = fleet.workPerSecond() * 1000 / WORK;
  }

  public static void main(String[] args) {
    MeasurementRunner.run(MOST_SECONDS, () -> measure(args));
  }

  private static void measure(String[] args) throws Exception {
    long seed = args.length > 0 && !args[0].isEmpty() ? Long.parseLong(args[0]) : 1;
    MeasureContracts m = new MeasureContracts(seed);
    double calm = 0.55;
    Day base = m.day("calm", true, calm, true);
    Day over = m.day("overrun", true, 10, true);
    Day off = m.day("overrun, contracts off", false, 10, true);
    Day single = m.day("one team alone", true, 5, false);
    ObjectNode out = JSON.createObjectNode();
    out.put(
        "others_kept_min",
        round(Math.min(kept(over.stock, base.stock), kept(over.booking, base.booking))));
    out.put(
        "others_worst5s_min",
        round(Math.min(worst(over.stock, base.stock), worst(over.booking, base.booking))));
    out.put(
        "overrunner_kept",
        round(
            Math.min(
                1,
                served(over.appeal)
                    * SEARCH_PARTS
                    / (APPEAL_SHARE * m.partsPerSecond * (SECONDS - WARM)))));
    out.put(
        "returned_served",
        round(
            over.appeal.returned == 0
                ? 0
                : (double) over.appeal.returnedServed / over.appeal.returned));
    out.put("single_use", round(single.workShare));
    out.put("rules_broken", m.fleet.rules().broken());
    out.put(
        "others_kept_min_off",
        round(Math.min(kept(off.stock, base.stock), kept(off.booking, base.booking))));
    out.put("seed", seed);
    m.fleet.rules().breaches().forEach(b -> System.out.println("broken: " + b));
    System.out.println(out);
  }

  /**
   * One day: {@code appeal} is how many times its share the first team asks for, the others ask for
   * about half of theirs.
   */
  private Day day(String name, boolean contracts, double appeal, boolean others) throws Exception {
    HostPort front = new HostPort("127.0.0.1", Ports.free());
    HostPort search = new HostPort("127.0.0.1", Ports.free());
    EventLoop clients = new EventLoop();
    ObjectNode configuration =
        fleet.configuration("n" + days++, front.toString(), "8c1f30d27a5be964", HOLDS);
    // During an appeal its searches count for more than all else: left to worth alone, they would
    // take everything.
    ((ObjectNode) configuration.at("/settings/requestClasses/0")).put("worth", APPEAL_WORTH);
    try (Node program =
        new Node("n" + days, configuration, script(search, contracts)).start().awaitReady()) {
      Team a =
          new Team(
              clients,
              front,
              seed,
              appeal * APPEAL_SHARE * partsPerSecond / SEARCH_PARTS,
              SEARCH_PARTS,
              Team.Manners.HALF_AND_HALF,
              AIM,
              DEADLINE,
              SECONDS,
              WARM,
              n -> platform("slot-search", "a" + seed + "-" + n, n, SEARCH_PARTS));
      Team s =
          new Team(
              clients,
              front,
              seed + 1,
              0.5 * 0.35 * partsPerSecond / CELLS,
              CELLS,
              Team.Manners.AS_TOLD,
              AIM,
              DEADLINE,
              SECONDS,
              WARM,
              n -> platform("stock-report", "s" + seed + "-" + n, 0, CELLS));
      Team b =
          new Team(
              clients,
              search,
              seed + 2,
              0.5 * 0.25 * partsPerSecond,
              1,
              Team.Manners.AS_TOLD,
              AIM,
              DEADLINE,
              SECONDS,
              WARM,
              n -> booking(n));
      double before = fleet.workDone();
      a.begin();
      if (others) {
        s.begin();
        b.begin();
      }
      TimeUnit.MILLISECONDS.sleep(1000L * WARM);
      double warm = fleet.workDone();
      TimeUnit.MILLISECONDS.sleep(1000L * (SECONDS - WARM));
      double share = (fleet.workDone() - warm) / (fleet.workPerSecond() * (SECONDS - WARM));
      String accounts = program.order("accounts");
      TimeUnit.MILLISECONDS.sleep((long) DEADLINE / 3);
      Day day = new Day(a.tally(), s.tally(), b.tally(), share, accounts);
      System.out.println(
          String.format(
              Locale.ROOT,
              "%s: work %.2f of what there is (%.0f ms); in time %s %s %s; tries %d of %d"
                  + " queries; came back as told %d, served %d",
              name,
              share,
              fleet.workDone() - before,
              part(day.appeal),
              part(day.stock),
              part(day.booking),
              day.appeal.tries,
              day.appeal.queries,
              day.appeal.returned,
              day.appeal.returnedServed));
      System.out.println(accounts);
      program
          .log()
          .lines()
          .filter(l -> l.contains("ERROR") || l.contains("SEVERE") || l.contains("Exception"))
          .limit(5)
          .forEach(System.out::println);
      return day;
    }
  }

  private static String part(Team.Tally t) {
    return String.format(Locale.ROOT, "%.0f/%.0f", served(t), t.sum(t.asked, WARM, SECONDS));
  }

  private static double served(Team.Tally t) {
    return t.sum(t.inTime, WARM, SECONDS);
  }

  /** What a team keeps, of what it had on the calm day of the same seed. */
  private static double kept(Team.Tally t, Team.Tally base) {
    return served(t) / Math.max(1, served(base));
  }

  private static double worst(Team.Tally t, Team.Tally base) {
    double worst = Double.POSITIVE_INFINITY;
    for (int from = WARM; from + 5 <= SECONDS; from++) {
      double had = base.sum(base.inTime, from, from + 5);
      worst = Math.min(worst, t.sum(t.inTime, from, from + 5) / Math.max(1, had));
    }
    return worst;
  }

  private static double round(double v) {
    return Math.round(v * 1000) / 1000.0;
  }

  private String platform(String kind, String id, int first, int parts) {
    StringBuilder slices = new StringBuilder();
    for (int i = 0; i < parts; i++) {
      slices
          .append(i == 0 ? "" : ",")
          .append("{\"slice\":")
          .append((first + i) % CELLS)
          .append(",\"mass\":")
          .append(1.0 / parts)
          .append('}');
    }
    String body = "{\"slices\":[" + slices + "],\"filter\":\"w=" + WORK + " " + id + "\"}";
    return "POST /"
        + kind
        + " HTTP/1.1\r\nHost: b\r\nRequest-Id: "
        + id
        + "-"
        + Long.toHexString(System.nanoTime())
        + "\r\nRequest-Timeout: "
        + DEADLINE / 1000
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String booking(int n) {
    String body = "{\"query\":{\"match\":{\"slot\":\"w=" + WORK + " " + n + "\"}}}";
    return "POST /bookings/_search?preference=_shards:"
        + n % CELLS
        + " HTTP/1.1\r\nHost: b\r\nAuthorization: ApiKey "
        + Base64.getEncoder().encodeToString(KEY.getBytes(StandardCharsets.UTF_8))
        + "\r\nIdempotency-Key: b"
        + seed
        + "-"
        + n
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String script(HostPort search, boolean contracts) {
    byte[] salt = {1, 2, 3, 4, 5, 6, 7, 8};
    String hash =
        HexFormat.of()
            .formatHex(
                TenantIdentification.hash(
                    salt, "a-long-and-random-secret".getBytes(StandardCharsets.UTF_8)));
    List<String> lines =
        List.of(
            "opensearch(listen = \""
                + search
                + "\", server_port = "
                + fleet.searchPort()
                + ", indices = {",
            "  \"bookings\": {\"class\": \"slot-booking\"},",
            "})",
            "accounts(list = True)");
    String teams =
        String.join(
            "\n",
            "contract(id = \"appeal\", share = 0.4, platform = [\"slot-search\"], classes = {\"slot-search\": terms()})",
            "contract(id = \"stock\", share = 0.35, platform = [\"stock-report\"], classes = {\"stock-report\": terms()})",
            "contract(id = \"booking\", share = 0.25, classes = {\"slot-booking\": terms(worth = 2)}, keys = [",
            "  {\"id\": \"booking\", \"salt\": \"0102030405060708\", \"sha256\": \""
                + hash
                + "\"},",
            "])");
    return String.join("\n", lines) + "\n" + (contracts ? teams + "\n" : "");
  }
}
