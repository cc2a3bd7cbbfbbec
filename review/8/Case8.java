import java.io.IOException;
import java.util.Map;

/**
 * A search that spans the sections of both data centres, and whose answer is longer than 1 MiB.
 * Every part is answered in time; the client must get one final answer.
 */
public final class Case8 {
  private static final int CELLS = 12;
  private static final int SHARDS = 24;

  /** Hits that each section has, of some 1,000 bytes each. */
  private static final int HITS = 60;

  public static void main(String[] args) {
    Rig.main(args, Case8::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Discovery discovery = new Discovery(rig);
    int searchPort = Rig.freePort("127.0.0.1");
    SearchServer[] servers = new SearchServer[CELLS];
    for (int cell = 0; cell < CELLS; cell++) {
      String host = "127.0.1." + (cell + 1);
      SlotServer server = new SlotServer(rig, "s-" + cell, host, cell);
      servers[cell] = new SearchServer(host, searchPort, 1000, HITS);
      String zone = cell % 2 == 0 ? "lhr-gulberg" : "lhr-johar";
      discovery.add(server.id, Discovery.entry(server.id, server.address, zone, cell, "up", 0));
    }
    String agent = discovery.open("127.0.0.1").address;
    String listen = "127.0.0.1:" + Rig.freePort("127.0.0.1");
    String search = "127.0.0.1:" + Rig.freePort("127.0.0.1");
    String settings = Rig.settings(CELLS, SHARDS, 113, Rig.lahoreClasses(), "");
    String config =
        rig.file("config.json", Rig.config("n0", listen, agent, discovery.list(), settings))
            .toString();
    String front = Rig.front(rig, search, searchPort);
    Process node =
        rig.start("run", "n0", Map.of("LB_CONFIG", config, "LB_OPENSEARCH", front), false);
    rig.awaitReady(node, "n0", listen);

    // Without the disruption, the search is for the sections at one server.
    String sections = Rig.TROUBLE ? "" : "?preference=_shards:0,12";
    int lost = 0;
    for (int number = 0; number < 5; number++) {
      String body = "{\"query\":{\"match_all\":{}},\"size\":2000}";
      try (Rig.Http http = new Rig.Http(search, 9000)) {
        String head = "Content-Type: application/json\r\n";
        Rig.Http.Answer answer = http.post("/stock/_search" + sections, head, body.getBytes());
        rig.log("search " + number + ": " + answer.status + ", " + answer.body.length + " bytes");
      } catch (IOException failure) {
        lost++;
        rig.log("search " + number + ": never answered: " + failure);
      }
      int asked = 0;
      for (SearchServer server : servers) {
        asked += server.asked.getAndSet(0);
      }
      rig.log("search " + number + ": parts that servers got: " + asked);
      Rig.sleep(500);
    }
    for (String line : rig.output("n0").split("\n")) {
      if (line.contains("WARNING: Closing")) {
        rig.log("log: " + line);
      }
    }
    return lost == 0 && node.isAlive();
  }
}
