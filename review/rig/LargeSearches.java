import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of the search front ask for the first 1,000 hits of an index, eight of them at once. The
 * answers of the slot servers stay below the bound of a part. Without the disruption they ask for
 * the first 10 hits.
 */
final class LargeSearches {
  private static final int CLIENTS = 8;
  private static final int ROUNDS = 5;
  private static final int MATCHES = 1000;

  private LargeSearches() {}

  public static void main(String[] arguments) {
    Rig.main(arguments, LargeSearches::run);
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    int size = trouble ? MATCHES : 10;
    rig.searchFront = true;
    rig.startFrameServers(50);
    List<String> hits = hits();
    rig.startSearchServers(
        (cell, request, connection) -> {
          TimeUnit.MILLISECONDS.sleep(50);
          int asked = Rig.number(request.text(), "size");
          return Rig.hits(MATCHES, String.join(",", hits.subList(0, Math.min(asked, MATCHES))));
        });
    String part = Rig.hits(MATCHES, String.join(",", hits.subList(0, size)));
    rig.note("bytes of a part: " + part.length());
    Process aggregator = rig.startAggregator();
    rig.awaitReady(aggregator);
    Queries queries = new Queries(rig);
    AtomicInteger unanswered = new AtomicInteger();
    for (int round = 1; round <= ROUNDS; round++) {
      queries.send();
      List<Thread> clients = new ArrayList<>();
      for (int client = 1; client <= CLIENTS; client++) {
        String name = "search " + round + "." + client;
        clients.add(Rig.daemon(() -> search(rig, name, size, unanswered)));
      }
      for (Thread client : clients) {
        client.join();
      }
      TimeUnit.MILLISECONDS.sleep(500);
    }
    queries.join();
    boolean hasEnded = aggregator.waitFor(1, TimeUnit.SECONDS);
    rig.note(queries + "; searches without an answer: " + unanswered);
    if (hasEnded) {
      rig.note("THE AGGREGATOR HAS ENDED with status " + aggregator.exitValue());
    }
    return hasEnded || queries.lost() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static void search(Rig rig, String name, int size, AtomicInteger unanswered) {
    try (Rig.Client client = new Rig.Client(rig.searchListen, 7000)) {
      Rig.Message answer =
          client.post("/slots/_search", "", "{\"size\":" + size + ",\"query\":{\"match_all\":{}}}");
      rig.note(name + ": " + answer.status() + ", " + answer.body().length + " bytes");
    } catch (IOException failure) {
      unanswered.incrementAndGet();
      rig.note(name + ": no answer: " + failure.getMessage());
    }
  }

  private static List<String> hits() {
    List<String> hits = new ArrayList<>();
    for (int hit = 0; hit < MATCHES; hit++) {
      hits.add(
          String.format(
              Locale.ROOT,
              "{\"_index\":\"slots\",\"_id\":\"slot-%05d\",\"_score\":%.4f,\"_source\":{"
                  + "\"centre\":\"Lahore General Hospital\",\"district\":\"gulberg\","
                  + "\"date\":\"2026-12-%02d\",\"time\":\"%02d:30\",\"type\":\"whole-blood\","
                  + "\"places\":%d,\"open\":true}}",
              hit,
              1.0 - hit * 0.0005,
              1 + hit % 28,
              8 + hit % 10,
              hit % 7));
    }
    return hits;
  }
}
