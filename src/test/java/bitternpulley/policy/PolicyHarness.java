package bitternpulley.policy;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;

/** A policy with a virtual clock and a record of its actions. */
final class PolicyHarness implements Router.Actions {
  /** An attempt that was sent. */
  record Send(long part, String server, double sentAt, double timeout) {}

  private record Alarm(double time, String token) {}

  final RoutingPolicy policy;
  final List<Send> sends = new ArrayList<>();

  /** Ends of queries and steps, as {@code "complete 1 @50"}: how, which query, when. */
  final List<String> results = new ArrayList<>();

  /** Attempts cancelled, as {@code "10/0"}: part and number. */
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

  /** Adds one server in each of four cells, s0 to s3, all long warm. */
  PolicyHarness addFourServers() {
    updateEndpoints(
        Router.ListKind.REMEMBERED,
        endpoint("s0", 0, Router.ServerState.LIVE, 0),
        endpoint("s1", 1, Router.ServerState.LIVE, 0),
        endpoint("s2", 2, Router.ServerState.LIVE, 0),
        endpoint("s3", 3, Router.ServerState.LIVE, 0));
    return this;
  }

  void updateEndpoints(Router.ListKind kind, Router.Endpoint... endpoints) {
    policy.onServersChanged(kind, List.of(endpoints), now, this);
    policy.completeBatch(now, this);
  }

  /**
   * Shows that servers process two parts of so many ms at once, at one that holds the last shard
   * alone.
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

  /** Answers a query with a part of each of the four shards after so many ms. */
  void answerQuery(long id, double latencyMs) {
    query(id, 3000, shards(0, 1, 2, 3));
    advanceBy(latencyMs);
    for (int i = 0; i < 4; i++) {
      endAttempt(id * 10 + i, 0, Router.Outcome.OK);
    }
  }

  /** Answers several such queries, one after the other. */
  void answerQueries(int count, double latencyMs) {
    for (int i = 0; i < count; i++) {
      answerQuery(1000 + i, latencyMs);
    }
  }

  /**
   * A query whose parts, numbered from 10 times its id, lie on the given shards with the given
   * weights; equal ones where none are given.
   */
  void query(long id, double timeLeft, int[] shards, double... weights) {
    policy.onQuery(new Router.Query(id, id, 0, shards.length, 0, false, timeLeft, 0), now, this);
    parts(id, id * 10, shards, weights);
  }

  void parts(long number, long firstId, int[] shards, double... weights) {
    for (int i = 0; i < shards.length; i++) {
      double weight = weights.length == 0 ? 1.0 / shards.length : weights[i];
      policy.onPart(new Router.Part(firstId + i, number, shards[i], weight, 0), now, this);
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

  /** Moves the clock and delivers the alarms on the way. */
  void advanceTo(double time) {
    for (Alarm alarm = nextAlarm(time); alarm != null; alarm = nextAlarm(time)) {
      alarms.remove(alarm);
      now = Math.max(now, alarm.time);
      policy.onAlarm(alarm.token, now, this);
      policy.completeBatch(now, this);
    }
    now = time;
  }

  /** The earliest alarm up to a time, of equal ones the first scheduled, or null. */
  private Alarm nextAlarm(double until) {
    Alarm next = null;
    for (Alarm alarm : alarms) {
      if (alarm.time <= until && (next == null || alarm.time < next.time)) {
        next = alarm;
      }
    }
    return next;
  }

  /** Moves the clock and delivers every alarm scheduled so far, though some are not yet due. */
  void deliverAllAlarmsAt(double time) {
    List<Alarm> due = List.copyOf(alarms);
    alarms.clear();
    now = time;
    due.forEach(alarm -> policy.onAlarm(alarm.token, now, this));
    policy.completeBatch(now, this);
  }

  /** Attempts of a part that were sent. */
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
