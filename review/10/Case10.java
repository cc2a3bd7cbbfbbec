import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An aggregator starts with an old list while discovery is slow: it answers each call 1.2 s after
 * it came. What discovery tells must be known 6 s after the start at the latest.
 */
public final class Case10 {
  private static final int CELLS = 6;
  private static final int SHARDS = 12;

  /** What discovery takes to answer a call, in ms. */
  private static final double SLOW_MS = 1200;

  /** After this time a change counts as told, whether it arrived or not, in ms. */
  private static final double TOLD_MS = 6000;

  /** The grace of the rule on drains, and 50 ms that the protocol page adds, in ms. */
  private static final double GRACE_MS = 250 + 50;

  private static volatile double readyAt = Double.NaN;
  private static final AtomicInteger LATE = new AtomicInteger();
  private static final AtomicInteger ANSWERED = new AtomicInteger();

  public static void main(String[] args) {
    Rig.main(args, Case10::run);
  }

  private static final class Server extends SlotServer {
    private final boolean drains;

    Server(Rig rig, int cell) throws Exception {
      super(rig, "s-" + cell, "127.0.0.1", cell);
      drains = cell == 0;
    }

    @Override
    void onPart(Part part) {
      double late = rig.ms() - readyAt;
      if (drains && late > TOLD_MS + SLOW_MS + GRACE_MS) {
        rig.log(id + ", which drains, is sent " + part.id() + " " + Math.round(late) + " ms after");
        LATE.incrementAndGet();
      }
      super.onPart(part);
    }
  }

  private static boolean run(Rig rig) throws Exception {
    Discovery discovery = new Discovery(rig);
    Server[] servers = new Server[CELLS];
    for (int cell = 0; cell < CELLS; cell++) {
      servers[cell] = new Server(rig, cell);
      discovery.add("s-" + cell, entry(servers[cell], "up"));
    }
    String known = discovery.list();
    discovery.change("s-0", entry(servers[0], "draining"));
    rig.log("s-0 drains; the list from before the start does not know it");
    Discovery.Agent agent = discovery.open("127.0.0.1");
    agent.delayMs = Rig.TROUBLE ? SLOW_MS : 0;
    String listen = "127.0.0.1:" + Rig.freePort("127.0.0.1");
    String settings = Rig.settings(CELLS, SHARDS, 113, Rig.lahoreClasses(), "");
    String file =
        rig.file("config.json", Rig.config("n0", listen, agent.address, known, settings))
            .toString();
    Process node = rig.start("run", "n0", Map.of("LB_CONFIG", file), false);
    rig.awaitReady(node, "n0", listen);
    readyAt = rig.ms();
    for (int query = 0; rig.ms() < readyAt + 25_000; query++) {
      int shard = query % SHARDS;
      String body = "{\"slices\":[{\"slice\":" + shard + ",\"mass\":1.0}],\"filter\":\"c41e77d0\"}";
      try (Rig.Http http = new Rig.Http(listen, 7000)) {
        String head = "Request-Id: q" + query + "\r\nRequest-Timeout: 6.0\r\n";
        int status = http.post("/slot-search", head, body.getBytes()).status;
        ANSWERED.addAndGet(status == 200 ? 1 : 0);
      }
      Rig.sleep(50);
    }
    rig.log("queries served: " + ANSWERED.get() + ", parts sent to s-0 too late: " + LATE.get());
    return LATE.get() == 0 && node.isAlive();
  }

  private static String entry(SlotServer server, String phase) {
    String zone = server.cell % 2 == 0 ? "lhr-gulberg" : "lhr-johar";
    return Discovery.entry(server.id, server.address, zone, server.cell, phase, 0);
  }
}
