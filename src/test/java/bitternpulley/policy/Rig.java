package bitternpulley.policy;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;

/** One policy with hand-made settings, a hand-moved clock and a list of what it did. */
final class Rig implements Router.Actions {
  record Send(long part, String server, double at, double timeout) {}

  final List<Send> sends = new ArrayList<>();
  final List<String> ends = new ArrayList<>();
  final List<String> cancels = new ArrayList<>();
  private final List<double[]> alarms = new ArrayList<>();
  private final List<String> tokens = new ArrayList<>();
  final List<String> closed = new ArrayList<>();
  int watches;
  double now;
  final RoutingPolicy policy;

  static Settings.QueryClass kind(
      Settings.Idempotency effect,
      double aim,
      double deadline,
      double late,
      double least,
      int second) {
    return new Settings.QueryClass(
        "any", 1, aim, 0, deadline, late, effect, 400, false, least, 1, 0.9, second);
  }

  static Settings settings(
      Settings.QueryClass kind, boolean copies, Settings.Rules rules, int width) {
    return new Settings(
        0,
        2,
        0,
        1,
        false,
        List.of(kind),
        List.of(),
        1,
        false,
        new Settings.Layout(4, 4, width, 1),
        new Settings.Limits(4, 1000, true, copies, true, 500, 250),
        rules,
        new Settings.Costs(0, 0));
  }

  static Settings.Rules rules(boolean budgeted, double floor, double share) {
    return new Settings.Rules(0.2, 10_000, 2, 1000, budgeted, floor, share, 1000);
  }

  Rig(Settings settings) {
    policy = new RoutingPolicy(settings, 7, 0, this);
  }

  /** One server in each of four cells, s0 to s3, all long warm. */
  Rig servers() {
    list(
        Router.ListKind.REMEMBERED,
        member("s0", 0, Router.ServerState.LIVE, 0),
        member("s1", 1, Router.ServerState.LIVE, 0),
        member("s2", 2, Router.ServerState.LIVE, 0),
        member("s3", 3, Router.ServerState.LIVE, 0));
    return this;
  }

  /**
   * Has it seen that servers work on two parts of so many ms at once, at one that holds the last
   * shard alone.
   */
  Rig twoCores(double ms) {
    for (int i = 0; i < 40; i++) {
      query(500_000 + 2 * i, 3000, new int[] {3});
      query(500_001 + 2 * i, 3000, new int[] {3});
      to(now + ms);
      end(10 * (500_000 + 2 * i), 0, Router.Outcome.OK);
      end(10 * (500_001 + 2 * i), 0, Router.Outcome.OK);
      to(now + ms);
    }
    sends.clear();
    ends.clear();
    return this;
  }

  static Router.Endpoint member(String id, int cell, Router.ServerState state, double started) {
    return new Router.Endpoint(id, cell % 2, cell, state, started);
  }

  void list(Router.ListKind kind, Router.Endpoint... members) {
    policy.onServersChanged(kind, List.of(members), now, this);
    policy.completeBatch(now, this);
  }

  /**
   * A query whose parts, numbered from 10 times its id, lie on the given shards with the given
   * weights.
   */
  void query(long id, double left, int[] shards, double... weights) {
    policy.onQuery(new Router.Query(id, id, 0, shards.length, 0, false, left, 0), now, this);
    parts(id, id * 10, shards, weights);
  }

  void parts(long number, long first, int[] shards, double... weights) {
    for (int i = 0; i < shards.length; i++) {
      double w = weights.length == 0 ? 1.0 / shards.length : weights[i];
      policy.onPart(new Router.Part(first + i, number, shards[i], w, 0), now, this);
    }
    policy.completeBatch(now, this);
  }

  void end(long part, int attempt, Router.Outcome outcome) {
    String server = "";
    double sent = 0;
    int n = 0;
    for (Send s : sends) {
      if (s.part == part && n++ == attempt) {
        server = s.server;
        sent = s.at;
      }
    }
    policy.onAttemptEnded(
        new Router.AttemptEnded(part, attempt, server, outcome, now - sent), now, this);
    policy.completeBatch(now, this);
  }

  /** Moves the clock, ringing the alarms on the way. */
  Rig to(double time) {
    while (true) {
      int next = -1;
      for (int i = 0; i < alarms.size(); i++) {
        if (alarms.get(i)[0] <= time && (next < 0 || alarms.get(i)[0] < alarms.get(next)[0])) {
          next = i;
        }
      }
      if (next < 0) {
        break;
      }
      now = Math.max(now, alarms.remove(next)[0]);
      policy.onAlarm(tokens.remove(next), now, this);
      policy.completeBatch(now, this);
    }
    now = time;
    return this;
  }

  /** Rings every alarm set so far at this time, though some are due a hair later. */
  void ringAllEarly(double time) {
    List<String> due = new ArrayList<>(tokens);
    alarms.clear();
    tokens.clear();
    now = time;
    due.forEach(token -> policy.onAlarm(token, now, this));
    policy.completeBatch(now, this);
  }

  long sent(long part) {
    return sends.stream().filter(s -> s.part == part).count();
  }

  @Override
  public void send(long part, String server, double timeout) {
    sends.add(new Send(part, server, now, timeout));
  }

  @Override
  public void cancel(long part, int attempt) {
    cancels.add(part + "/" + attempt);
  }

  @Override
  public void answer(long query, boolean complete) {
    ends.add((complete ? "whole " : "part ") + query + " @" + (long) now);
  }

  @Override
  public void reject(long query, double retryAfter) {
    ends.add("refuse " + query + " @" + (long) now);
  }

  @Override
  public void fail(long query) {
    ends.add("fail " + query + " @" + (long) now);
  }

  @Override
  public void scheduleAlarm(double time, String token) {
    alarms.add(new double[] {time});
    tokens.add(token);
  }

  @Override
  public void watchEndpoints() {
    watches++;
  }

  @Override
  public void closeIdleConnections(String server) {
    closed.add(server);
  }

  @Override
  public void log(String text) {}
}
