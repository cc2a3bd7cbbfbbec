import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Thirty clients send forty queries of 4 KB at once, each on a connection of its own. Each query
 * that was taken must get an answer, if only a refusal. Without the disruption it is ten clients.
 */
public final class SentAhead {
  private static final int CELLS = 6;
  private static final int SHARDS = 12;
  private static final int QUERIES = 40;

  private static final AtomicInteger ANSWERED = new AtomicInteger();
  private static final AtomicInteger LOST = new AtomicInteger();

  public static void main(String[] args) {
    Rig.main(args, SentAhead::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Discovery discovery = new Discovery(rig);
    for (int cell = 0; cell < CELLS; cell++) {
      SlotServer server = new SlotServer(rig, "s-" + cell, "127.0.0.1", cell);
      String zone = cell % 2 == 0 ? "lhr-gulberg" : "lhr-johar";
      discovery.add(server.id, Discovery.entry(server.id, server.address, zone, cell, "up", 0));
    }
    String agent = discovery.open("127.0.0.1").address;
    String listen = "127.0.0.1:" + Rig.freePort("127.0.0.1");
    String settings = Rig.settings(CELLS, SHARDS, 113, Rig.lahoreClasses(), "");
    String config =
        rig.file("config.json", Rig.config("n0", listen, agent, discovery.list(), settings))
            .toString();
    Process node = rig.start("run", "n0", Map.of("LB_CONFIG", config), false);
    rig.awaitReady(node, "n0", listen);
    Rig.sleep(1000);
    List<Thread> threads = new ArrayList<>();
    for (int client = 0; client < (Rig.TROUBLE ? 30 : 10); client++) {
      int number = client;
      Thread thread = new Thread(() -> client(rig, listen, number));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    rig.log("queries answered: " + ANSWERED.get() + ", taken and never answered: " + LOST.get());
    return LOST.get() == 0 && node.isAlive();
  }

  private static void client(Rig rig, String listen, int client) {
    int sent = 0;
    int answered = 0;
    try (Rig.Http http = new Rig.Http(listen, 15_000)) {
      for (int query = 0; query < QUERIES; query++) {
        String body =
            "{\"slices\":[{\"slice\":"
                + (query + client) % SHARDS
                + ",\"mass\":1.0}],\"filter\":\""
                + "c41e77d0".repeat(500)
                + "\"}";
        String head = "Request-Id: c" + client + "-" + query + "\r\nRequest-Timeout: 6.0\r\n";
        http.sendPost("/slot-search", head, body.getBytes());
        sent++;
      }
      while (answered < QUERIES) {
        http.read();
        answered++;
      }
    } catch (IOException ended) {
      rig.log("client " + client + ": " + sent + " sent, " + answered + " answered, " + ended);
    }
    ANSWERED.addAndGet(answered);
    LOST.addAndGet(sent - answered);
  }
}
