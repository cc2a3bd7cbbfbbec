import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Searches of the OpenSearch-style front that come at once, beside queries in the platform's
 * protocol. The program must keep running, and each query must get its answer.
 */
public final class Case6 {
  private static final int CELLS = 12;
  private static final int SHARDS = 24;

  /** Clients that search at once, and the searches of each. */
  private static final int SEARCHERS = 4;

  private static final int SEARCHES = 6;

  /** Hits that a search asks for; the operators' file as shipped allows 10,000. */
  private static final int SIZE = 1200;

  private static final AtomicInteger LOST = new AtomicInteger();
  private static final AtomicInteger ANSWERED = new AtomicInteger();
  private static volatile boolean ended;

  public static void main(String[] args) {
    Rig.main(args, Case6::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Discovery discovery = new Discovery(rig);
    int searchPort = Rig.freePort("127.0.0.1");
    for (int cell = 0; cell < CELLS; cell++) {
      String host = "127.0.1." + (cell + 1);
      SlotServer server = new SlotServer(rig, "s-" + cell, host, cell);
      server.workMs = 200;
      new SearchServer(host, searchPort, 34, Integer.MAX_VALUE);
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
    List<Thread> threads = new ArrayList<>();
    for (int client = 0; client < 2; client++) {
      int number = client;
      Thread thread = new Thread(() -> queries(rig, listen, number));
      thread.start();
      threads.add(thread);
    }
    Rig.sleep(1000);

    if (Rig.TROUBLE) {
      List<Thread> searchers = new ArrayList<>();
      for (int client = 0; client < SEARCHERS; client++) {
        String name = "searcher " + client;
        Thread thread = new Thread(() -> searches(rig, node, search, name));
        thread.start();
        searchers.add(thread);
      }
      for (Thread searcher : searchers) {
        searcher.join();
      }
    } else {
      for (int client = 0; client < SEARCHERS; client++) {
        searches(rig, node, search, "searcher " + client);
      }
    }
    Rig.sleep(500);
    ended = true;
    for (Thread thread : threads) {
      thread.join();
    }
    boolean running = node.isAlive();
    rig.log("queries answered: " + ANSWERED.get() + ", taken and never answered: " + LOST.get());
    rig.log("program " + (running ? "running" : "ended with status " + node.exitValue()));
    for (String line : rig.output("n0").split("\n")) {
      if (line.contains("OutOfMemory") || line.contains("SEVERE")) {
        rig.log("log: " + line);
      }
    }
    return running && LOST.get() == 0;
  }

  private static void searches(Rig rig, Process node, String search, String name) {
    String body = "{\"query\":{\"match_all\":{}},\"size\":" + SIZE + "}";
    for (int number = 0; number < SEARCHES && node.isAlive(); number++) {
      boolean sent = false;
      try (Rig.Http http = new Rig.Http(search, 9000)) {
        http.sendPost("/stock/_search", "Content-Type: application/json\r\n", body.getBytes());
        sent = true;
        Rig.Http.Answer answer = http.read();
        rig.log(name + ": " + answer.status + ", " + answer.body.length + " bytes");
        Rig.sleep(answer.status == 200 ? 0 : 300);
      } catch (IOException failure) {
        rig.log(name + (sent ? ": never answered: " : ": not taken: ") + failure);
        if (sent) {
          LOST.incrementAndGet();
        }
      }
    }
  }

  private static void queries(Rig rig, String listen, int client) {
    for (int query = 0; !ended; query++) {
      String id = "q" + client + "-" + query;
      int shard = (7 * query + client) % SHARDS;
      String body =
          "{\"slices\":[{\"slice\":"
              + shard
              + ",\"mass\":0.5},{\"slice\":"
              + (shard + 1) % SHARDS
              + ",\"mass\":0.5}],\"filter\":\"c41e77d0\"}";
      boolean sent = false;
      try (Rig.Http http = new Rig.Http(listen, 7000)) {
        String head = "Request-Id: " + id + "\r\nRequest-Timeout: 6.0\r\n";
        http.sendPost("/slot-search", head, body.getBytes());
        sent = true;
        http.read();
        ANSWERED.incrementAndGet();
      } catch (IOException failure) {
        rig.log(id + (sent ? ": never answered: " : ": not taken: ") + failure);
        if (sent) {
          LOST.incrementAndGet();
        } else {
          return;
        }
      }
    }
  }
}
