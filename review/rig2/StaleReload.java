import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two new configurations in quick succession, the first with a long operators' script. The watch of
 * discovery must end up at the address that the last file names.
 */
public final class StaleReload {
  private static final int CELLS = 6;
  private static final int SHARDS = 12;

  /** After this time a change counts as told, whether it arrived or not, in ms. */
  private static final double TOLD_MS = 6000;

  /** The grace of the rule on drains, and 50 ms that the protocol page adds, in ms. */
  private static final double GRACE_MS = 250 + 50;

  private static volatile double drainedAt = Double.NaN;
  private static final AtomicInteger LATE = new AtomicInteger();

  public static void main(String[] args) {
    Rig.main(args, StaleReload::run);
  }

  private static final class Server extends SlotServer {
    private final boolean drains;

    Server(Rig rig, int cell) throws Exception {
      super(rig, "s-" + cell, "127.0.0.1", cell);
      drains = cell == 0;
    }

    @Override
    void onPart(Part part) {
      double late = rig.ms() - drainedAt;
      if (drains && late > TOLD_MS + GRACE_MS) {
        rig.log(id + ", which drains, is sent " + part.id() + " " + Math.round(late) + " ms after");
        LATE.incrementAndGet();
      }
      super.onPart(part);
    }
  }

  /** The operators' script with this many teams, each with a contract of its own. */
  private static String script(int teams) {
    StringBuilder text = new StringBuilder("opensearch(listen = None, indices = {\"slots\": ");
    text.append("{\"class\": \"slot-search\"}})\naccounts(list = True)\n\n");
    for (int team = 0; team < teams; team++) {
      text.append("contract(\n    id = \"team-").append(team);
      text.append("\",\n    share = ").append(String.format("%.5f", 0.9 / teams));
      text.append(",\n    client_retries = 0.5,\n    burst_ms = 800,\n    keys = [{\"id\": \"team-");
      text.append(team).append("-2026\", \"salt\": \"5f1c0de29a77b340\", \"sha256\": \"");
      text.append("0d2f3a6f4c3e5f1b6a7988c1d2e3f4a5b6c7d8e9f00112233445566778899aab\"}],\n");
      text.append("    classes = {\"slot-search\": terms(), \"stock-report\": terms()},\n");
      text.append(team == 0 ? "    platform = [\"slot-search\"],\n    default = True,\n" : "");
      text.append(")\n\n");
    }
    return text.toString();
  }

  private static boolean run(Rig rig) throws Exception {
    Discovery discovery = new Discovery(rig);
    for (int cell = 0; cell < CELLS; cell++) {
      discovery.add("s-" + cell, entry(new Server(rig, cell), "up"));
    }
    Discovery.Agent first = discovery.open("127.0.0.1");
    Discovery.Agent second = discovery.open("127.0.0.1");
    Discovery.Agent third = discovery.open("127.0.0.1");
    String listen = "127.0.0.1:" + Rig.freePort("127.0.0.1");
    String settings = Rig.settings(CELLS, SHARDS, 113, Rig.lahoreClasses(), "");
    String known = discovery.list();
    String file = config(rig, listen, first, known, settings);
    String operators = rig.file("broker.star", script(3)).toString();
    Process node =
        rig.start("run", "n0", Map.of("LB_CONFIG", file, "LB_BROKER", operators), false);
    rig.awaitReady(node, "n0", listen);
    Discovery.daemon(() -> clients(rig, listen));
    Rig.sleep(2000);

    if (Rig.TROUBLE) {
      rig.file("broker.star", script(TEAMS));
      config(rig, listen, second, known, settings);
      Rig.signal(node, "HUP");
      rig.log("new configuration: discovery at " + second.address + ", " + TEAMS + " teams; SIGHUP");
      replaced(first);
      Rig.sleep(100);
      rig.file("broker.star", script(3));
    }
    config(rig, listen, third, known, settings);
    Rig.signal(node, "HUP");
    rig.log("new configuration: discovery at " + third.address + ", 3 teams; SIGHUP");
    replaced(Rig.TROUBLE ? second : first);
    Rig.sleep(6000);
    rig.log("the open watches end; " + third.address + " goes on accepting");
    third.closeWatches();
    Rig.sleep(1000);
    drainedAt = rig.ms();
    rig.log("s-0 begins to drain");
    discovery.change("s-0", DRAINING);
    Rig.sleep(TOLD_MS + 6000);
    rig.log("parts sent to s-0 too late: " + LATE.get() + ", program running: " + node.isAlive());
    for (String line : rig.output("n0").split("\n")) {
      if (line.contains("Discovery agent") || line.contains("Contracts activated")) {
        rig.log("log: " + line);
      }
    }
    return LATE.get() == 0 && node.isAlive();
  }

  private static final int TEAMS = 400;
  private static String DRAINING;

  private static String entry(SlotServer server, String phase) {
    String zone = server.cell % 2 == 0 ? "lhr-gulberg" : "lhr-johar";
    if (server.cell == 0) {
      DRAINING = Discovery.entry(server.id, server.address, zone, 0, "draining", 0);
    }
    return Discovery.entry(server.id, server.address, zone, server.cell, phase, 0);
  }

  private static String config(
      Rig rig, String listen, Discovery.Agent agent, String known, String settings)
      throws Exception {
    return rig.file("config.json", Rig.config("n0", listen, agent.address, known, settings))
        .toString();
  }

  /** The address that a new configuration has replaced, as the pages describe it. */
  private static void replaced(Discovery.Agent agent) throws Exception {
    agent.stopAccepting();
    Discovery.daemon(
        () -> {
          Rig.sleep(1500);
          agent.closeWatches();
        });
  }

  private static void clients(Rig rig, String listen) {
    Random random = new Random(1);
    for (int query = 0; true; query++) {
      int shard = query % SHARDS;
      String body = "{\"slices\":[{\"slice\":" + shard + ",\"mass\":1.0}],\"filter\":\"c41e77d0\"}";
      try (Rig.Http http = new Rig.Http(listen, 7000)) {
        String head = "Request-Id: q" + query + "\r\nRequest-Timeout: 6.0\r\n";
        int status = http.post("/slot-search", head, body.getBytes()).status;
        if (status != 200) {
          rig.log("q" + query + " for " + shard + ": " + status);
        }
      } catch (Exception ended) {
        rig.log("q" + query + ": " + ended);
      }
      Rig.sleep(40 + random.nextInt(40));
    }
  }
}
