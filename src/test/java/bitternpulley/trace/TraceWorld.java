package bitternpulley.trace;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.OperatorOverrides;
import bitternpulley.broker.Reducer;
import bitternpulley.broker.Request;
import bitternpulley.contracts.ContractBook;
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
 * Some instances of the real core and its real policy before the same slot servers, in virtual time
 * and by seed. Every effect goes into a digest, so that a change of any decision changes it.
 */
final class TraceWorld {
  static final double BEGIN = 1_000_000;
  private static final double UNSENT_WITHIN_MS = 1.2;

  private record Due(double at, long order, Runnable task) {}

  private record Running(int instance, Effect.StartAttempt start, double sentAt) {}

  final TraceServers servers;
  final Random random;
  double now = BEGIN;
  private final TraceDigest digest = new TraceDigest();
  private final Settings settings;
  private final List<Reducer> instances = new ArrayList<>();
  private final Map<String, Running> running = new HashMap<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
  private long order;
  private long requests;

  TraceWorld(IntFunction<Settings> settings, long seed) {
    this.settings = settings.apply(0);
    random = new Random(seed);
    servers = new TraceServers(this.settings.layout().cells(), random);
    for (int i = 0; i < this.settings.instances(); i++) {
      instances.add(new Reducer(settings.apply(i), seed * 31 + i, now));
    }
    list(Router.ListKind.REMEMBERED, IntStream.range(0, servers.size()).toArray());
    list(Router.ListKind.COMPLETE, IntStream.range(0, servers.size()).toArray());
  }

  void at(double time, Runnable task) {
    due.add(new Due(Math.max(now, time), order++, task));
  }

  String run(double until) {
    while (!due.isEmpty() && due.peek().at() <= until) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = until;
    instances.forEach(i -> digest.add("open", i.pendingRequests()));
    return digest.end();
  }

  /**
   * All instances hear of these servers as they now are, each a little later than the one before.
   */
  void list(Router.ListKind kind, int... named) {
    List<Router.Endpoint> members = IntStream.of(named).mapToObj(this::member).toList();
    for (int i = 0; i < instances.size(); i++) {
      int instance = i;
      if (now == BEGIN) {
        submit(instance, new Event.ServersChanged(kind, members));
      } else {
        at(
            now + 10 + 40 * random.nextDouble(),
            () -> submit(instance, new Event.ServersChanged(kind, members)));
      }
    }
  }

  private Router.Endpoint member(int server) {
    return new Router.Endpoint(
        "s" + server,
        server % 2,
        server,
        Router.ServerState.valueOf(servers.state(server)),
        servers.startedAt(server));
  }

  void failedList() {
    everywhere(new Event.ServersChanged(Router.ListKind.FAILED, List.of()));
  }

  void everywhere(Event event) {
    for (int i = 0; i < instances.size(); i++) {
      submit(i, event);
    }
  }

  void order(int instance, String server, boolean on) {
    submit(
        instance,
        new Event.OperatorCommandReceived(new OperatorOverrides.OperatorCommand(server, on), null));
  }

  void contracts(ContractBook book) {
    everywhere(new Event.ContractsActivated(book));
  }

  /** Membership and leases between the instances. */
  void peers() {
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
      beat(i);
    }
  }

  private void beat(int instance) {
    submit(instance, new Event.MembershipTick());
    at(now + 100 + random.nextDouble(), () -> beat(instance));
  }

  /**
   * Queries come at random gaps of so many ms in the mean; by {@code teams} in turn where there are
   * any.
   */
  void load(double meanGapMs, double until, int mostParts, List<String> teams) {
    if (now < until) {
      ask(random.nextInt(instances.size()), mostParts, teams);
      at(
          now - Math.log(1 - random.nextDouble()) * meanGapMs,
          () -> load(meanGapMs, until, mostParts, teams));
    }
  }

  private void ask(int instance, int mostParts, List<String> teams) {
    int queryClass = random.nextInt(settings.classes().size());
    List<Request.QueryPart> parts = parts(mostParts);
    double timeout =
        settings.classes().get(queryClass).deadline() * (0.3 + 0.7 * random.nextDouble());
    String team = teams.isEmpty() ? null : teams.get(queryClass % teams.size());
    Router.Lateness lateness =
        random.nextInt(5) == 0
            ? new Router.Lateness(20 * random.nextDouble(), 10)
            : Router.Lateness.NONE;
    long id = ++requests;
    boolean retry = random.nextInt(6) == 0;
    Router.Terms terms = new Router.Terms(random.nextInt(8) == 0, random.nextInt(8) == 0);
    Request request =
        new Request(
            id, null, queryClass, timeout, retry, terms, parts, null, team, id % 50, lateness);
    submit(instance, new Event.RequestReceived(request));
    if (random.nextInt(12) == 0) {
      at(
          now + timeout * random.nextDouble(),
          () -> submit(instance, new Event.ClientDisconnected(id)));
    }
  }

  /**
   * Parts on consecutive shards with random weights; those of one query in three have estimates.
   */
  private List<Request.QueryPart> parts(int mostParts) {
    int count = 1 + random.nextInt(mostParts);
    int first = random.nextInt(settings.layout().shards());
    double[] weights = random.doubles(count).map(weight -> 0.2 + weight).toArray();
    double sum = Arrays.stream(weights).sum();
    boolean estimated = random.nextInt(3) == 0;
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                new Request.QueryPart(
                    (first + i) % settings.layout().shards(),
                    weights[i] / sum,
                    estimated ? 60 * weights[i] : 0))
        .toList();
  }

  private void submit(int instance, Event event) {
    for (Effect effect : instances.get(instance).reduce(event, now)) {
      effect.dispatch(new EffectLines(digest, instance, now));
      perform(instance, effect);
    }
  }

  private void perform(int instance, Effect effect) {
    if (effect instanceof Effect.StartCall call) {
      call.attempts().forEach(s -> perform(instance, s));
    } else if (effect instanceof Effect.StartAttempt attempt) {
      start(instance, attempt);
    } else if (effect instanceof Effect.CancelAttempt cancellation) {
      at(now + 0.1, () -> submit(instance, new Event.AttemptCancelled(cancellation.id())));
    } else if (effect instanceof Effect.CancelUnsent unsent) {
      unsend(instance, unsent.id().part() + "/" + unsent.id().number());
    } else if (effect instanceof Effect.CancelUnsentTo unsentTo) {
      running.entrySet().stream()
          .filter(
              r ->
                  r.getValue().instance() == instance
                      && r.getValue().start().server().equals(unsentTo.server()))
          .map(Map.Entry::getKey)
          .sorted()
          .map(k -> k.substring(k.indexOf(':') + 1))
          .toList()
          .forEach(k -> unsend(instance, k));
    } else if (effect instanceof Effect.WakeAt alarm) {
      at(alarm.time(), () -> submit(instance, alarm.event()));
    } else if (effect instanceof Effect.PersistOverride persist) {
      keep(persist.command());
    } else if (effect instanceof Effect.SendGossip gossip) {
      post(gossip.to(), new Event.GossipReceived(gossip.message()));
    } else if (effect instanceof Effect.SendLeaseMessage lease) {
      post(lease.to(), new Event.LeaseMessageReceived(lease.message()));
    }
  }

  private OperatorOverrides kept = OperatorOverrides.NONE;

  private void keep(OperatorOverrides.OperatorCommand order) {
    kept = kept.with(order);
    OperatorOverrides standing = kept;
    at(now + 5, () -> everywhere(new Event.OverridesChanged(standing)));
  }

  private void post(int to, Event event) {
    if (random.nextInt(10) > 0) {
      at(now + 0.3 + 4 * random.nextDouble(), () -> submit(to, event));
    }
  }

  private void start(int instance, Effect.StartAttempt attempt) {
    String key = instance + ":" + attempt.id().part() + "/" + attempt.id().number();
    running.put(key, new Running(instance, attempt, now));
    double hint = attempt.request().parts().get(attempt.partIndex()).estimatedWork();
    TraceServers.End end =
        servers.take(Integer.parseInt(attempt.server().substring(1)), hint > 0 ? hint : 45, now);
    if (!end.outcome().equals("NEVER")) {
      at(now + end.afterMs(), () -> end(key, Router.Outcome.valueOf(end.outcome())));
    }
    if (random.nextInt(200) == 0) {
      at(now + 3, () -> submit(instance, new Event.RequestRejectedByServer(attempt.id(), null)));
    }
  }

  private void end(String key, Router.Outcome outcome) {
    Running ended = running.remove(key);
    if (ended != null) {
      submit(ended.instance(), new Event.AttemptEnded(ended.start().id(), outcome, null));
    }
  }

  private void unsend(int instance, String attempt) {
    Running ended = running.get(instance + ":" + attempt);
    if (ended != null && now - ended.sentAt() <= UNSENT_WITHIN_MS) {
      at(now, () -> end(instance + ":" + attempt, Router.Outcome.NOT_SENT));
    }
  }
}
