package bitternpulley.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.config.SettingsReader;
import bitternpulley.config.StrictJson;
import bitternpulley.policy.RoutingPolicy;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * The routing policy alone, as the simulator drives it, where the site permits hedged requests:
 * more than one attempt of a part may be out, and a query may have a second step. The digests are
 * of actions in neutral words.
 */
class HedgingTraceTest {
  private static final Path FOLDER = Path.of("src/test/resources/traces");
  private static final double LENGTH_MS = 20_000;

  @Test
  void decidesAsRecorded() throws IOException {
    List<String> seen = new ArrayList<>();
    for (String site : List.of("quetta-desk", "sialkot-depots", "sukkur-ledger", "multan-rolls")) {
      for (long seed = 1; seed <= 3; seed++) {
        seen.add("HEDGING " + site + " " + seed + " " + new Play(settings(site), seed).run());
      }
    }
    assertEquals(
        String.join("\n", DecisionTraceTest.recorded("decisions.txt", "HEDGING ")),
        String.join("\n", seen));
  }

  private static Settings settings(String site) throws IOException {
    JsonNode in = StrictJson.read(Files.readAllBytes(FOLDER.resolve(site + ".json")));
    ((ObjectNode) in.get("policyLimits"))
        .put("secondCopies", true)
        .put("mayCancel", true)
        .put("maxAttempts", 4);
    return SettingsReader.read(in);
  }

  private static final class Play implements Router.Actions {
    private record Due(double at, long order, Runnable task) {}

    private record Running(long part, int number, String server, double sentAt) {}

    private final TraceDigest digest = new TraceDigest();
    private final PriorityQueue<Due> due =
        new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<String, Running> running = new HashMap<>();
    private final Map<Long, Router.Query> open = new HashMap<>();
    private final Settings settings;
    private final Random random;
    private final TraceServers servers;
    private final Router router;
    private long order;
    private long lastId;
    private double now;

    Play(Settings settings, long seed) {
      this.settings = settings;
      random = new Random(seed);
      servers = new TraceServers(settings.layout().cells(), random);
      router = new RoutingPolicy(settings, seed, now, this);
    }

    String run() {
      router.onServersChanged(
          Router.ListKind.COMPLETE,
          IntStream.range(0, servers.size()).mapToObj(this::member).toList(),
          now,
          this);
      router.completeBatch(now, this);
      arrive();
      TraceServers.Behaviour[] all = TraceServers.Behaviour.values();
      for (int i = 1; i < all.length; i++) {
        TraceServers.Behaviour behaviour = all[i];
        int server = i;
        at(2000 * i, () -> servers.behave(server, behaviour));
        at(
            2000 * i + 4500,
            () -> {
              servers.restart(server, now);
              router.onServersChanged(Router.ListKind.CHANGES, List.of(member(server)), now, this);
            });
      }
      while (!due.isEmpty() && due.peek().at() < LENGTH_MS + 10_000) {
        Due next = due.poll();
        now = Math.max(now, next.at());
        next.task().run();
        router.completeBatch(now, this);
      }
      return digest.end();
    }

    private Router.Endpoint member(int server) {
      return new Router.Endpoint(
          "s" + server, server % 2, server, Router.ServerState.LIVE, servers.startedAt(server));
    }

    private void at(double time, Runnable task) {
      due.add(new Due(time, order++, task));
    }

    private void arrive() {
      if (now > LENGTH_MS) {
        return;
      }
      long id = ++lastId;
      int queryClass = random.nextInt(settings.classes().size());
      int parts = 1 + random.nextInt(8);
      double time =
          settings.classes().get(queryClass).deadline() * (0.4 + 0.6 * random.nextDouble());
      Router.Query query =
          new Router.Query(id, id, queryClass, parts, 0, random.nextInt(6) == 0, time, 0);
      open.put(id, query);
      router.onQuery(query, now, this);
      parts(id, parts);
      if (random.nextInt(10) == 0) {
        at(
            now + time * random.nextDouble(),
            () -> {
              if (open.remove(id) != null) {
                router.onClientDisconnected(id, now, this);
              }
            });
      }
      at(now - Math.log(1 - random.nextDouble()) * 30, this::arrive);
    }

    private void parts(long query, int parts) {
      int first = random.nextInt(settings.layout().shards());
      for (int i = 0; i < parts; i++) {
        router.onPart(
            new Router.Part(
                ++lastId,
                query,
                (first + i) % settings.layout().shards(),
                1.0 / parts,
                random.nextInt(3) == 0 ? 50 : 0),
            now,
            this);
      }
    }

    @Override
    public void send(long part, String server, double timeout) {
      int number = attempts.merge(part, 1, Integer::sum) - 1;
      digest.add(now, "send", part, number, server, timeout);
      String key = part + "/" + number;
      running.put(key, new Running(part, number, server, now));
      TraceServers.End end = servers.take(Integer.parseInt(server.substring(1)), 45, now);
      double ends = end.outcome().equals("NEVER") ? timeout : Math.min(timeout, end.afterMs());
      Router.Outcome outcome =
          ends == timeout ? Router.Outcome.TIMEOUT : Router.Outcome.valueOf(end.outcome());
      at(now + ends, () -> end(key, outcome));
    }

    private void end(String key, Router.Outcome outcome) {
      Running ended = running.remove(key);
      if (ended != null) {
        router.onAttemptEnded(
            new Router.AttemptEnded(
                ended.part(), ended.number(), ended.server(), outcome, now - ended.sentAt()),
            now,
            this);
      }
    }

    @Override
    public void cancel(long part, int attempt) {
      digest.add(now, "cancel", part, attempt);
      at(now + 0.2, () -> end(part + "/" + attempt, Router.Outcome.CANCELLED));
    }

    @Override
    public void answer(long query, boolean complete) {
      digest.add(now, "answer", query, complete);
      Router.Query answered = open.remove(query);
      if (answered != null && settings.classes().get(answered.queryClass()).secondStepParts() > 0) {
        int parts = settings.classes().get(answered.queryClass()).secondStepParts();
        at(now + 1, () -> parts(query, parts));
      }
    }

    @Override
    public void reject(long query, double retryAfter) {
      digest.add(now, "refuse", query, retryAfter);
      open.remove(query);
    }

    @Override
    public void fail(long query) {
      digest.add(now, "fail", query);
      open.remove(query);
    }

    @Override
    public void scheduleAlarm(double time, String token) {
      digest.add(now, "alarm", time);
      at(time, () -> router.onAlarm(token, now, this));
    }

    @Override
    public void watchEndpoints() {
      digest.add(now, "watch");
    }

    @Override
    public void closeIdleConnections(String server) {
      digest.add(now, "close", server);
    }

    @Override
    public void log(String text) {
      digest.add(now, "log");
    }
  }
}
