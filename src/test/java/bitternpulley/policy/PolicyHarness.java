package bitternpulley.policy;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;

/** Runs a routing policy on a virtual clock and records its actions. */
final class PolicyHarness implements Router.Actions {
  /** An attempt that was sent. */
  record Send(long part, String server, double sentAt, double timeout) {}

  private record Alarm(double time, String token) {}

  final RoutingPolicy policy;
  final List<Send> sends = new ArrayList<>();

  /**
   * Results of queries and steps, such as {@code "complete 1 @50"}: the result, the query and the
   * time.
   */
  final List<String> results = new ArrayList<>();

  /** Cancelled attempts, such as {@code "10/0"}: the part and the number of the attempt. */
  final List<String> cancellations = new ArrayList<>();

  /** Servers to which idle connections were closed. */
  final List<String> closedConnections = new ArrayList<>();

  private final List<Alarm> alarms = new ArrayList<>();
  double now;

  PolicyHarness(Settings settings) {
    policy = new RoutingPolicy(settings, 7, 0, this);
  }

  static PolicyHarnessBuilder builder() {
    return new PolicyHarnessBuilder();
  }

  static int[] shards(int... shards) {
    return shards;
  }

  static Router.Endpoint endpoint(String id, int cell, Router.ServerState state, double startedAt) {
    return new Router.Endpoint(id, cell % 2, cell, state, startedAt);
  }

  /** Adds one server in each of four cells, s0 to s3, all warmed up. */
  PolicyHarness addFourServers() {
    updateEndpoints(
        Router.EndpointListKind.PERSISTED,
        endpoint("s0", 0, Router.ServerState.LIVE, 0),
        endpoint("s1", 1, Router.ServerState.LIVE, 0),
        endpoint("s2", 2, Router.ServerState.LIVE, 0),
        endpoint("s3", 3, Router.ServerState.LIVE, 0));
    return this;
  }

  void updateEndpoints(Router.EndpointListKind kind, Router.Endpoint... endpoints) {
    policy.onServersChanged(kind, List.of(endpoints), now, this);
    policy.completeBatch(now, this);
  }

  /**
   * Lets the policy observe that a server processes two parts of {@code workMs} each in parallel.
   * The parts go to the only server of the last shard, so there must be one replica.
   */
  void observeTwoCores(double workMs) {
    for (int i = 0; i < 40; i++) {
      long first = 500_000L + 2L * i;
      long second = first + 1;
      query(first, 3000, shards(3));
      query(second, 3000, shards(3));
      advanceBy(workMs);
      endAttempt(10 * first, 0, Router.Outcome.OK);
      endAttempt(10 * second, 0, Router.Outcome.OK);
      advanceBy(workMs);
    }
    sends.clear();
    results.clear();
  }

  /**
   * Sends a query with one part for each of the four shards, and answers all parts after {@code
   * latencyMs}.
   */
  void answerQuery(long id, double latencyMs) {
    query(id, 3000, shards(0, 1, 2, 3));
    advanceBy(latencyMs);
    for (int i = 0; i < 4; i++) {
      endAttempt(id * 10 + i, 0, Router.Outcome.OK);
    }
  }

  /** Calls {@link #answerQuery} for {@code count} queries, one after the other. */
  void answerQueries(int count, double latencyMs) {
    for (int i = 0; i < count; i++) {
      answerQuery(1000 + i, latencyMs);
    }
  }

  /**
   * Sends a query with one part for each of the given shards, with the given weights or with equal
   * ones if none are given. The part ids start at 10 times the query id.
   */
  void query(long id, double timeLeft, int[] shards, double... weights) {
    policy.onQuery(new Router.Query(id, id, 0, shards.length, 0, false, timeLeft, 0), now, this);
    parts(id, id * 10, shards, weights);
  }

  void parts(long query, long firstId, int[] shards, double... weights) {
    for (int i = 0; i < shards.length; i++) {
      double weight = weights.length == 0 ? 1.0 / shards.length : weights[i];
      policy.onPart(new Router.Part(firstId + i, query, shards[i], weight, 0), now, this);
    }
    policy.completeBatch(now, this);
  }

  void endAttempt(long part, int attempt, Router.Outcome outcome) {
    List<Send> attempts = sends.stream().filter(send -> send.part == part).toList();
    String server = attempt < attempts.size() ? attempts.get(attempt).server : "";
    double sentAt = attempt < attempts.size() ? attempts.get(attempt).sentAt : 0;
    policy.onAttemptEnded(
        new Router.AttemptEnded(part, attempt, server, outcome, now - sentAt), now, this);
    policy.completeBatch(now, this);
  }

  void advanceBy(double durationMs) {
    advanceTo(now + durationMs);
  }

  /** Advances the clock and delivers the alarms that become due on the way. */
  void advanceTo(double time) {
    for (Alarm alarm = nextAlarm(time); alarm != null; alarm = nextAlarm(time)) {
      alarms.remove(alarm);
      now = Math.max(now, alarm.time);
      policy.onAlarm(alarm.token, now, this);
      policy.completeBatch(now, this);
    }
    now = time;
  }

  /**
   * The earliest alarm that is due by {@code until}, or null. Of several alarms due at the same
   * time, it is the one scheduled first.
   */
  private Alarm nextAlarm(double until) {
    Alarm next = null;
    for (Alarm alarm : alarms) {
      if (alarm.time <= until && (next == null || alarm.time < next.time)) {
        next = alarm;
      }
    }
    return next;
  }

  /** Sets the clock and delivers every alarm scheduled so far, even those not due yet. */
  void deliverAllAlarmsAt(double time) {
    List<Alarm> due = List.copyOf(alarms);
    alarms.clear();
    now = time;
    due.forEach(alarm -> policy.onAlarm(alarm.token, now, this));
    policy.completeBatch(now, this);
  }

  /** Number of attempts of a part that were sent. */
  long sentCount(long part) {
    return sends.stream().filter(send -> send.part == part).count();
  }

  /** Whether a query was rejected. */
  boolean isRejected(long query) {
    return results.stream().anyMatch(result -> result.startsWith("reject " + query + " @"));
  }

  @Override
  public void send(long part, String server, double timeout) {
    sends.add(new Send(part, server, now, timeout));
  }

  @Override
  public void cancel(long part, int attempt) {
    cancellations.add(part + "/" + attempt);
  }

  @Override
  public void answer(long query, boolean complete) {
    addResult(complete ? "complete" : "partial", query);
  }

  @Override
  public void reject(long query, double retryAfter) {
    addResult("reject", query);
  }

  @Override
  public void fail(long query) {
    addResult("fail", query);
  }

  private void addResult(String kind, long query) {
    results.add(kind + " " + query + " @" + (long) now);
  }

  @Override
  public void scheduleAlarm(double time, String token) {
    alarms.add(new Alarm(time, token));
  }

  @Override
  public void watchEndpoints() {}

  @Override
  public void closeIdleConnections(String server) {
    closedConnections.add(server);
  }

  @Override
  public void log(String text) {}
}
