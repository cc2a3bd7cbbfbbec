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
 * Compares digests of the decisions of the routing policy with recorded digests. The policy is
 * called directly, as the simulator does, with settings that permit hedged requests: a part may
 * have more than one attempt in flight, and a query may have a second step. Actions enter a digest
 * in fixed words.
 */
class HedgingTraceTest {
  private static final Path TRACES = Path.of("src/test/resources/traces");
  private static final double DURATION_MS = 20_000;

  @Test
  void decisionsMatchRecordedDigests() throws IOException {
    List<String> actual = new ArrayList<>();
    for (String site : List.of("quetta-desk", "sialkot-depots", "sukkur-ledger", "multan-rolls")) {
      for (long seed = 1; seed <= 3; seed++) {
        actual.add(
            "HEDGING "
                + site
                + " "
                + seed
                + " "
                + new PolicySimulation(settings(site), seed).run());
      }
    }
    assertEquals(
        String.join("\n", DecisionTraceTest.recorded("decisions.txt", "HEDGING ")),
        String.join("\n", actual));
  }

  private static Settings settings(String site) throws IOException {
    JsonNode json = StrictJson.read(Files.readAllBytes(TRACES.resolve(site + ".json")));
    ((ObjectNode) json.get("policyLimits"))
        .put("secondCopies", true)
        .put("mayCancel", true)
        .put("maxAttempts", 4);
    return SettingsReader.read(json);
  }

  private static final class PolicySimulation implements Router.Actions {
    private record ScheduledTask(double time, long number, Runnable action) {}

    private record RunningAttempt(long part, int number, String server, double sentAt) {}

    private final TraceDigest digest = new TraceDigest();
    private final PriorityQueue<ScheduledTask> tasks =
        new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTask::time)
                .thenComparingLong(ScheduledTask::number));
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final Map<String, RunningAttempt> runningAttempts = new HashMap<>();
    private final Map<Long, Router.Query> openQueries = new HashMap<>();
    private final Settings settings;
    private final Random random;
    private final TraceServers servers;
    private final Router router;
    private long taskCount;
    private long lastId;
    private double now;

    PolicySimulation(Settings settings, long seed) {
      this.settings = settings;
      random = new Random(seed);
      servers = new TraceServers(settings.layout().cells(), random);
      router = new RoutingPolicy(settings, seed, now, this);
    }

    String run() {
      router.onServersChanged(
          Router.EndpointListKind.COMPLETE,
          IntStream.range(0, servers.size()).mapToObj(this::endpoint).toList(),
          now,
          this);
      router.completeBatch(now, this);
      submitNextQuery();
      TraceServers.Behaviour[] behaviours = TraceServers.Behaviour.values();
      for (int i = 1; i < behaviours.length; i++) {
        TraceServers.Behaviour behaviour = behaviours[i];
        int server = i;
        schedule(2000 * i, () -> servers.setBehaviour(server, behaviour));
        schedule(
            2000 * i + 4500,
            () -> {
              servers.restart(server, now);
              router.onServersChanged(
                  Router.EndpointListKind.CHANGES, List.of(endpoint(server)), now, this);
            });
      }
      while (!tasks.isEmpty() && tasks.peek().time() < DURATION_MS + 10_000) {
        ScheduledTask next = tasks.poll();
        now = Math.max(now, next.time());
        next.action().run();
        router.completeBatch(now, this);
      }
      return digest.finish();
    }

    private Router.Endpoint endpoint(int server) {
      return new Router.Endpoint(
          "s" + server, server % 2, server, Router.ServerState.LIVE, servers.startedAt(server));
    }

    private void schedule(double time, Runnable action) {
      tasks.add(new ScheduledTask(time, taskCount++, action));
    }

    private void submitNextQuery() {
      if (now > DURATION_MS) {
        return;
      }
      long id = ++lastId;
      int queryClass = random.nextInt(settings.classes().size());
      int parts = 1 + random.nextInt(8);
      double timeLeft =
          settings.classes().get(queryClass).deadline() * (0.4 + 0.6 * random.nextDouble());
      Router.Query query =
          new Router.Query(id, id, queryClass, parts, 0, random.nextInt(6) == 0, timeLeft, 0);
      openQueries.put(id, query);
      router.onQuery(query, now, this);
      submitParts(id, parts);
      if (random.nextInt(10) == 0) {
        schedule(
            now + timeLeft * random.nextDouble(),
            () -> {
              if (openQueries.remove(id) != null) {
                router.onClientDisconnected(id, now, this);
              }
            });
      }
      schedule(now - Math.log(1 - random.nextDouble()) * 30, this::submitNextQuery);
    }

    private void submitParts(long query, int parts) {
      int firstShard = random.nextInt(settings.layout().shards());
      for (int i = 0; i < parts; i++) {
        router.onPart(
            new Router.Part(
                ++lastId,
                query,
                (firstShard + i) % settings.layout().shards(),
                1.0 / parts,
                random.nextInt(3) == 0 ? 50 : 0),
            now,
            this);
      }
    }

    @Override
    public void send(long part, String server, double timeout) {
      int number = attemptCounts.merge(part, 1, Integer::sum) - 1;
      digest.add(now, "send", part, number, server, timeout);
      String key = part + "/" + number;
      runningAttempts.put(key, new RunningAttempt(part, number, server, now));
      TraceServers.End end = servers.receivePart(Integer.parseInt(server.substring(1)), 45, now);
      double duration = end.outcome().equals("NEVER") ? timeout : Math.min(timeout, end.afterMs());
      Router.Outcome outcome =
          duration == timeout ? Router.Outcome.TIMEOUT : Router.Outcome.valueOf(end.outcome());
      schedule(now + duration, () -> endAttempt(key, outcome));
    }

    private void endAttempt(String key, Router.Outcome outcome) {
      RunningAttempt ended = runningAttempts.remove(key);
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
      schedule(now + 0.2, () -> endAttempt(part + "/" + attempt, Router.Outcome.CANCELLED));
    }

    @Override
    public void answer(long query, boolean complete) {
      digest.add(now, "answer", query, complete);
      Router.Query answered = openQueries.remove(query);
      if (answered != null && settings.classes().get(answered.queryClass()).secondStepParts() > 0) {
        int parts = settings.classes().get(answered.queryClass()).secondStepParts();
        schedule(now + 1, () -> submitParts(query, parts));
      }
    }

    @Override
    public void reject(long query, double retryAfter) {
      digest.add(now, "refuse", query, retryAfter);
      openQueries.remove(query);
    }

    @Override
    public void fail(long query) {
      digest.add(now, "fail", query);
      openQueries.remove(query);
    }

    @Override
    public void scheduleAlarm(double time, String token) {
      digest.add(now, "alarm", time);
      schedule(time, () -> router.onAlarm(token, now, this));
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
