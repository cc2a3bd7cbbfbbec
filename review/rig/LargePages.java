import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Small searches and platform queries arrive at a steady rate. Now and then two searches ask for
 * a page of 800 hits instead of 100, so that each part is answered with eight times as much, under
 * the 256 KiB that the front allows. Checked is that the aggregator goes on running, and that what
 * it took is answered.
 */
final class LargePages {
  private static final int USUAL_SIZE = 100;
  private static final int LARGE_SIZE = 800;
  private static final int DOCUMENTS = 1000;
  private static final int FIRST_HOUR = 8;
  private static final int HOURS = 12;
  private static final int WORK_MS = 5;
  private static final int SEARCH_INTERVAL_MS = 60;
  private static final int QUERY_INTERVAL_MS = 200;

  /** The numbers of the searches in whose place two large ones come together. */
  private static final Set<Integer> LARGE_AT = Set.of(120, 180, 240, 300, 360, 420);

  /** 12 large ones of about 560 requests of the class in all, 2.2 of 100. */
  private static final int LARGE_TOGETHER = 2;

  private static final double DURATION_S = 28;
  private static final int DEADLINE_MS = 6000;

  /** Up to half a second after its time a request only earns nothing. */
  private static final int FINAL_ANSWER_MS = DEADLINE_MS + 500;

  private final Rig rig;
  private final boolean trouble;
  private final Map<String, String> answers = new ConcurrentHashMap<>();
  private final AtomicInteger searches = new AtomicInteger();
  private final AtomicInteger large = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger notConnected = new AtomicInteger();
  private final List<Thread> requests = new ArrayList<>();

  private LargePages(Rig rig, boolean trouble) {
    this.rig = rig;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) {
    Rig.main(arguments, (rig, trouble) -> new LargePages(rig, trouble).play());
  }

  private int play() throws Exception {
    for (int shard = 0; shard < Rig.SHARDS; shard++) {
      answer(shard, USUAL_SIZE);
      int bytes = answer(shard, LARGE_SIZE).length();
      if (bytes > 256 * 1024) {
        rig.note("a part of " + bytes + " bytes is over the limit of the front");
        return Rig.COULD_NOT_RUN;
      }
    }
    rig.note(
        "bytes of a part: usual page "
            + answer(0, USUAL_SIZE).length()
            + ", large page "
            + answer(0, LARGE_SIZE).length());
    rig.startSearchServers(this::serve);
    rig.startFrameServers(WORK_MS);
    Process aggregator = rig.startAggregator();
    rig.awaitReady(aggregator);
    double end = rig.seconds() + DURATION_S;
    Thread queries = Rig.daemon(() -> sendQueries(end, aggregator));
    sendSearches(end, aggregator);
    queries.join();
    for (Thread request : requests) {
      request.join();
    }
    TimeUnit.MILLISECONDS.sleep(200);
    rig.note(
        "searches and queries: answered "
            + answered
            + ", without a final answer "
            + unanswered
            + ", not connected "
            + notConnected
            + "; searches "
            + searches
            + ", large ones among them "
            + large);
    if (!aggregator.isAlive()) {
      rig.note("the aggregator has ended by itself, status " + aggregator.exitValue());
      return Rig.BROKEN;
    }
    return unanswered.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private String serve(int cell, Rig.Message request, Socket connection) throws Exception {
    TimeUnit.MILLISECONDS.sleep(WORK_MS);
    return answer(Rig.shardOf(request), Rig.number(request.text(), "size"));
  }

  /** Returns the best hits of a shard: schedules with the free slots of each hour. */
  private String answer(int shard, int size) {
    return answers.computeIfAbsent(
        shard + "/" + size,
        key -> {
          StringBuilder hits = new StringBuilder();
          Random random = new Random(shard);
          for (int document = 0; document < Math.min(size, DOCUMENTS); document++) {
            hits.append(document == 0 ? "" : ",")
                .append("{\"_index\":\"slots\",\"_id\":\"" + shard + "-" + document)
                .append("\",\"_score\":" + (100_000 - Rig.SHARDS * document - shard))
                .append(".0,\"_source\":{\"centre\":\"c" + document + "\",\"day\":[");
            for (int hour = FIRST_HOUR; hour < FIRST_HOUR + HOURS; hour++) {
              hits.append(hour == FIRST_HOUR ? "" : ",")
                  .append("{\"h\":" + hour + ",\"free\":" + random.nextInt(40) + "}");
            }
            hits.append("]}}");
          }
          return Rig.hits(DOCUMENTS, hits.toString());
        });
  }

  private void sendSearches(double end, Process aggregator) throws InterruptedException {
    for (int number = 1; rig.seconds() < end && aggregator.isAlive(); number++) {
      boolean isLarge = trouble && LARGE_AT.contains(number);
      int together = isLarge ? LARGE_TOGETHER : 1;
      int size = isLarge ? LARGE_SIZE : USUAL_SIZE;
      for (int index = 0; index < together; index++) {
        searches.incrementAndGet();
        large.addAndGet(size == LARGE_SIZE ? 1 : 0);
        String name = "search " + number + "." + index + " of size " + size;
        requests.add(Rig.daemon(() -> sendSearch(name, size)));
      }
      TimeUnit.MILLISECONDS.sleep(SEARCH_INTERVAL_MS);
    }
  }

  private void sendSearch(String name, int size) {
    send(
        name,
        rig.searchListen,
        "/slots/_search",
        "",
        "{\"query\":{\"match_all\":{}},\"size\":" + size + "}");
  }

  private void sendQueries(double end, Process aggregator) throws InterruptedException {
    for (int number = 1; rig.seconds() < end && aggregator.isAlive(); number++) {
      String id = "q" + number;
      send(
          "query " + id,
          rig.listen,
          "/slot-search",
          "Request-Id: " + id + "\r\nRequest-Timeout: " + DEADLINE_MS / 1000 + "\r\n",
          Rig.query(1, 2, 3, 4));
      TimeUnit.MILLISECONDS.sleep(QUERY_INTERVAL_MS);
    }
  }

  private void send(String name, String address, String path, String headers, String body) {
    Rig.Client client;
    try {
      client = new Rig.Client(address, FINAL_ANSWER_MS);
    } catch (IOException refused) {
      notConnected.incrementAndGet();
      rig.note(name + " could not connect: " + refused);
      return;
    }
    try (client) {
      Rig.Message answer = client.post(path, headers, body);
      answered.incrementAndGet();
      rig.note(name + " answered " + answer.status() + ", bytes " + answer.body().length);
    } catch (SocketTimeoutException late) {
      unanswered.incrementAndGet();
      rig.note(name + " has no final answer after " + FINAL_ANSWER_MS + " ms");
    } catch (IOException closed) {
      unanswered.incrementAndGet();
      rig.note(name + " was sent and has no final answer: " + closed);
    }
  }
}
