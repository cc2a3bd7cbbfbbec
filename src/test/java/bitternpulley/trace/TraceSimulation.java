package bitternpulley.trace;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.OperatorOverrides;
import bitternpulley.broker.Reducer;
import bitternpulley.broker.Request;
import bitternpulley.contracts.ContractSet;
import bitternpulley.leases.LeaseTerms;
import bitternpulley.leases.Leases;
import bitternpulley.membership.MemberMetadata;
import bitternpulley.membership.Membership;
import bitternpulley.membership.MembershipSettings;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Simulates several instances with the production core and routing policy and the same slot
 * servers, in virtual time and from a seed. Every effect is added to a digest, so that any changed
 * decision changes the digest.
 */
final class TraceSimulation {
  static final double BEGIN = 1_000_000;

  /** Time after the start of an attempt during which it can be cancelled as unsent. */
  private static final double UNSENT_MAX_AGE_MS = 1.2;

  private record ScheduledTask(double time, long number, Runnable action) {}

  private record RunningAttempt(int instance, Effect.StartAttempt start, double sentAt) {}

  final TraceServers servers;
  final Random random;
  double now = BEGIN;
  private final TraceDigest digest = new TraceDigest();
  private final Settings settings;
  private final List<Reducer> instances = new ArrayList<>();
  private final Map<String, RunningAttempt> runningAttempts = new HashMap<>();
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingDouble(ScheduledTask::time).thenComparingLong(ScheduledTask::number));
  private long taskCount;
  private long requestCount;

  TraceSimulation(IntFunction<Settings> settings, long seed) {
    this.settings = settings.apply(0);
    random = new Random(seed);
    servers = new TraceServers(this.settings.layout().cells(), random);
    for (int i = 0; i < this.settings.instances(); i++) {
      instances.add(new Reducer(settings.apply(i), seed * 31 + i, now));
    }
    sendEndpointList(
        Router.EndpointListKind.PERSISTED, IntStream.range(0, servers.size()).toArray());
    sendEndpointList(
        Router.EndpointListKind.COMPLETE, IntStream.range(0, servers.size()).toArray());
  }

  void schedule(double time, Runnable action) {
    tasks.add(new ScheduledTask(Math.max(now, time), taskCount++, action));
  }

  String run(double until) {
    while (!tasks.isEmpty() && tasks.peek().time() <= until) {
      ScheduledTask next = tasks.poll();
      now = Math.max(now, next.time());
      next.action().run();
    }
    now = until;
    instances.forEach(instance -> digest.add("open", instance.pendingRequests()));
    return digest.finish();
  }

  /**
   * Sends the current state of these servers to all instances. At the start of the simulation the
   * instances receive it at once, later each instance receives it after a random delay.
   */
  void sendEndpointList(Router.EndpointListKind kind, int... serverIndexes) {
    List<Router.Endpoint> endpoints = IntStream.of(serverIndexes).mapToObj(this::endpoint).toList();
    for (int i = 0; i < instances.size(); i++) {
      int instance = i;
      if (now == BEGIN) {
        submit(instance, new Event.ServersChanged(kind, endpoints));
      } else {
        schedule(
            now + 10 + 40 * random.nextDouble(),
            () -> submit(instance, new Event.ServersChanged(kind, endpoints)));
      }
    }
  }

  private Router.Endpoint endpoint(int server) {
    return new Router.Endpoint(
        "s" + server,
        server % 2,
        server,
        Router.ServerState.valueOf(servers.state(server)),
        servers.startedAt(server));
  }

  void sendFailedEndpointList() {
    submitToAll(new Event.ServersChanged(Router.EndpointListKind.FAILED, List.of()));
  }

  void submitToAll(Event event) {
    for (int i = 0; i < instances.size(); i++) {
      submit(i, event);
    }
  }

  void sendOperatorCommand(int instance, String server, boolean enabled) {
    submit(
        instance,
        new Event.OperatorCommandReceived(
            new OperatorOverrides.OperatorCommand(server, enabled), null));
  }

  void activateContracts(ContractSet contracts) {
    submitToAll(new Event.ContractsActivated(contracts));
  }

  /** Starts membership and leases between the instances. */
  void startMembershipAndLeases() {
    List<Integer> all = IntStream.range(0, instances.size()).boxed().toList();
    LeaseTerms terms = new LeaseTerms(instances.size(), all, 8000, 1500);
    for (int i = 0; i < instances.size(); i++) {
      submit(i, new Event.LeasesStarted(new Leases(i, terms)));
      submit(
          i,
          new Event.MembershipStarted(
              new Membership(
                  i,
                  new MemberMetadata("n" + i, "z" + i % 2, "r", "b"),
                  (long) now,
                  all,
                  MembershipSettings.DEFAULT,
                  77 + i,
                  now)));
      tickMembership(i);
    }
  }

  private void tickMembership(int instance) {
    submit(instance, new Event.MembershipTick());
    schedule(now + 100 + random.nextDouble(), () -> tickMembership(instance));
  }

  /**
   * Submits queries at random intervals with a mean of {@code meanGapMs}. If {@code teams} is not
   * empty, the query class determines the team.
   */
  void generateLoad(double meanGapMs, double until, int maxParts, List<String> teams) {
    if (now < until) {
      submitQuery(random.nextInt(instances.size()), maxParts, teams);
      schedule(
          now - Math.log(1 - random.nextDouble()) * meanGapMs,
          () -> generateLoad(meanGapMs, until, maxParts, teams));
    }
  }

  private void submitQuery(int instance, int maxParts, List<String> teams) {
    int queryClass = random.nextInt(settings.classes().size());
    List<Request.QueryPart> parts = randomParts(maxParts);
    double timeout =
        settings.classes().get(queryClass).deadline() * (0.3 + 0.7 * random.nextDouble());
    String team = teams.isEmpty() ? null : teams.get(queryClass % teams.size());
    Router.Lateness lateness =
        random.nextInt(5) == 0
            ? new Router.Lateness(20 * random.nextDouble(), 10)
            : Router.Lateness.NONE;
    long id = ++requestCount;
    boolean isRetry = random.nextInt(6) == 0;
    Router.Terms terms = new Router.Terms(random.nextInt(8) == 0, random.nextInt(8) == 0);
    Request request =
        new Request(
            id, null, queryClass, timeout, isRetry, terms, parts, null, team, id % 50, lateness);
    submit(instance, new Event.RequestReceived(request));
    if (random.nextInt(12) == 0) {
      schedule(
          now + timeout * random.nextDouble(),
          () -> submit(instance, new Event.ClientDisconnected(id)));
    }
  }

  /**
   * Creates parts on consecutive shards with random weights. One query in three states the
   * estimated work of its parts.
   */
  private List<Request.QueryPart> randomParts(int maxParts) {
    int count = 1 + random.nextInt(maxParts);
    int firstShard = random.nextInt(settings.layout().shards());
    double[] weights = random.doubles(count).map(weight -> 0.2 + weight).toArray();
    double sum = Arrays.stream(weights).sum();
    boolean isEstimated = random.nextInt(3) == 0;
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                new Request.QueryPart(
                    (firstShard + i) % settings.layout().shards(),
                    weights[i] / sum,
                    isEstimated ? 60 * weights[i] : 0))
        .toList();
  }

  private void submit(int instance, Event event) {
    for (Effect effect : instances.get(instance).reduce(event, now)) {
      effect.dispatch(new EffectDigestWriter(digest, instance, now));
      perform(instance, effect);
    }
  }

  private void perform(int instance, Effect effect) {
    if (effect instanceof Effect.StartCall call) {
      call.attempts().forEach(attempt -> perform(instance, attempt));
    } else if (effect instanceof Effect.StartAttempt attempt) {
      startAttempt(instance, attempt);
    } else if (effect instanceof Effect.CancelAttempt cancellation) {
      schedule(now + 0.1, () -> submit(instance, new Event.AttemptCancelled(cancellation.id())));
    } else if (effect instanceof Effect.CancelUnsent unsent) {
      cancelUnsent(instance, unsent.id().part() + "/" + unsent.id().number());
    } else if (effect instanceof Effect.CancelUnsentTo unsentTo) {
      runningAttempts.entrySet().stream()
          .filter(
              entry ->
                  entry.getValue().instance() == instance
                      && entry.getValue().start().server().equals(unsentTo.server()))
          .map(Map.Entry::getKey)
          .sorted()
          .map(key -> key.substring(key.indexOf(':') + 1))
          .toList()
          .forEach(attemptKey -> cancelUnsent(instance, attemptKey));
    } else if (effect instanceof Effect.ScheduleEvent alarm) {
      schedule(alarm.time(), () -> submit(instance, alarm.event()));
    } else if (effect instanceof Effect.PersistOverride persist) {
      persistOverride(persist.command());
    } else if (effect instanceof Effect.SendGossip gossip) {
      deliver(gossip.to(), new Event.GossipReceived(gossip.message()));
    } else if (effect instanceof Effect.SendLeaseMessage lease) {
      deliver(lease.to(), new Event.LeaseMessageReceived(lease.message()));
    }
  }

  private OperatorOverrides overrides = OperatorOverrides.NONE;

  private void persistOverride(OperatorOverrides.OperatorCommand command) {
    overrides = overrides.with(command);
    OperatorOverrides currentOverrides = overrides;
    schedule(now + 5, () -> submitToAll(new Event.OverridesChanged(currentOverrides)));
  }

  private void deliver(int to, Event event) {
    if (random.nextInt(10) > 0) {
      schedule(now + 0.3 + 4 * random.nextDouble(), () -> submit(to, event));
    }
  }

  private void startAttempt(int instance, Effect.StartAttempt attempt) {
    String key = instance + ":" + attempt.id().part() + "/" + attempt.id().number();
    runningAttempts.put(key, new RunningAttempt(instance, attempt, now));
    double estimatedWork = attempt.request().parts().get(attempt.partIndex()).estimatedWork();
    TraceServers.End end =
        servers.receivePart(
            Integer.parseInt(attempt.server().substring(1)),
            estimatedWork > 0 ? estimatedWork : 45,
            now);
    if (!end.outcome().equals("NEVER")) {
      schedule(now + end.afterMs(), () -> endAttempt(key, Router.Outcome.valueOf(end.outcome())));
    }
    if (random.nextInt(200) == 0) {
      schedule(
          now + 3, () -> submit(instance, new Event.RequestRejectedByServer(attempt.id(), null)));
    }
  }

  private void endAttempt(String key, Router.Outcome outcome) {
    RunningAttempt ended = runningAttempts.remove(key);
    if (ended != null) {
      submit(ended.instance(), new Event.AttemptEnded(ended.start().id(), outcome, null));
    }
  }

  private void cancelUnsent(int instance, String attemptKey) {
    RunningAttempt attempt = runningAttempts.get(instance + ":" + attemptKey);
    if (attempt != null && now - attempt.sentAt() <= UNSENT_MAX_AGE_MS) {
      schedule(now, () -> endAttempt(instance + ":" + attemptKey, Router.Outcome.NOT_SENT));
    }
  }
}
