package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A seeded simulation in virtual time: teams whose clients send queries at random times, one
 * admission control, and servers that process parts at a given rate in the order of arrival. Only
 * the admission control rejects queries. A query that takes longer than its latency objective does
 * not count as in time.
 */
final class SimulatedTeams {
  static final double LATENCY_OBJECTIVE_MS = 500;
  private static final double DEADLINE_MS = 1500;
  private static final double MAX_RETRY_AFTER_MS = 2000;

  /** Maximum number of times that a client sends one query. */
  private static final int MAX_ATTEMPTS = 3;

  /** Time that a part takes on an idle server; the rest of its latency is queueing. */
  private static final double PART_MS = 10;

  /** Delay of a client's return after its Retry-After. */
  private static final double RETURN_DELAY_MS = 5;

  /** Interval at which a team without queries checks whether its rate has changed. */
  private static final double IDLE_CHECK_MS = 20;

  private record Event(double time, long order, Runnable action) {}

  /** A client's query, identified by its number. */
  private record Query(SimulatedTeam team, long number, double firstSentAt) {}

  private final AdmissionControl control =
      new AdmissionControl(
          new double[] {LATENCY_OBJECTIVE_MS, LATENCY_OBJECTIVE_MS, LATENCY_OBJECTIVE_MS},
          MAX_RETRY_AFTER_MS);
  private final Map<String, SimulatedTeam> teams = new LinkedHashMap<>();
  private final List<UsageCharge> charges = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (left, right) ->
              left.time() != right.time()
                  ? Double.compare(left.time(), right.time())
                  : Long.compare(left.order(), right.order()));
  private final Random random;
  private long lastOrder;
  private long lastQuery;
  private double serversFreeAt;
  private double now;
  private double partsPerSecond;

  /** A simulation without teams; its servers process {@code partsPerSecond}. */
  SimulatedTeams(long seed, double partsPerSecond) {
    this.random = new Random(seed);
    this.partsPerSecond = partsPerSecond;
  }

  /** A contract for the three query classes. */
  static Contract contract(String id, double guaranteedQuota) {
    Router.ClassTerms terms = new Router.ClassTerms(LATENCY_OBJECTIVE_MS, DEADLINE_MS, 1, 1);
    return ContractBuilder.contract(id)
        .guaranteedQuota(guaranteedQuota)
        .queryClass(0, terms)
        .queryClass(1, terms)
        .queryClass(2, terms)
        .build();
  }

  static ContractSet contractSet(int version, Contract... contracts) {
    Map<String, Contract> byTeam = new LinkedHashMap<>();
    for (Contract contract : contracts) {
      byTeam.put(contract.id(), contract);
    }
    return new ContractSet(version, byTeam, null);
  }

  AdmissionControl control() {
    return control;
  }

  double now() {
    return now;
  }

  /** The charges of all admitted queries. */
  List<UsageCharge> charges() {
    return charges;
  }

  SimulatedTeam team(String id) {
    return teams.get(id);
  }

  Collection<SimulatedTeam> teams() {
    return teams.values();
  }

  void setPartsPerSecond(double rate) {
    partsPerSecond = rate;
  }

  SimulatedTeam addTeam(String id, double queriesPerSecond, int parts) {
    SimulatedTeam team = new SimulatedTeam(id, queriesPerSecond, parts);
    teams.put(id, team);
    schedule(now, () -> sendNextQuery(team));
    return team;
  }

  /** Schedules contracts to be put in force at a time. */
  void applyAt(double time, ContractSet contracts) {
    schedule(time, () -> control.apply(contracts, now));
  }

  SimulatedTeams runUntil(double time) {
    while (!events.isEmpty() && events.peek().time() <= time) {
      Event next = events.poll();
      now = next.time();
      next.action().run();
    }
    now = time;
    return this;
  }

  void resetCounts() {
    teams.values().forEach(SimulatedTeam::resetCounts);
  }

  private void schedule(double time, Runnable action) {
    events.add(new Event(Math.max(now, time), lastOrder++, action));
  }

  private void sendNextQuery(SimulatedTeam team) {
    double rate = team.queriesPerSecond();
    if (rate > 0) {
      team.recordSent();
      send(new Query(team, ++lastQuery, now), 1, false);
    }
    double gap = rate > 0 ? -Math.log(1 - random.nextDouble()) * 1000 / rate : IDLE_CHECK_MS;
    schedule(now + gap, () -> sendNextQuery(team));
  }

  private void send(Query query, int attempt, boolean afterRetryAfter) {
    SimulatedTeam team = query.team();
    AdmissionRequest request =
        new AdmissionRequest(team.id(), 0, team.parts(), 0, attempt > 1, query.number());
    AdmissionDecision decision = control.admit(request, now);
    if (decision instanceof UsageCharge charge) {
      charges.add(charge);
      serve(query, charge, afterRetryAfter);
    } else if (attempt < MAX_ATTEMPTS) {
      retry(query, attempt + 1, ((AdmissionDecision.Rejected) decision).retryAfter());
    }
  }

  private void retry(Query query, int attempt, double retryAfter) {
    if (query.team().honorsRetryAfter() && retryAfter > 0) {
      query.team().recordRetryAfter();
      schedule(now + retryAfter + RETURN_DELAY_MS, () -> send(query, attempt, true));
    } else if (query.team().retriesImmediately()) {
      schedule(now + 1, () -> send(query, attempt, false));
    }
  }

  private void serve(Query query, UsageCharge charge, boolean afterRetryAfter) {
    int[] partsLeft = {query.team().parts()};
    double admittedAt = now;
    for (int part = 0; part < query.team().parts(); part++) {
      control.onAttemptSent(charge);
      serversFreeAt = Math.max(serversFreeAt, now) + 1000 / partsPerSecond;
      schedule(
          serversFreeAt + PART_MS,
          () -> {
            control.onAttemptEnded(charge, Router.Outcome.OK, now - admittedAt, now);
            if (--partsLeft[0] == 0) {
              control.onRequestEnded(charge, true, now);
              recordServed(query, admittedAt, afterRetryAfter);
            }
          });
    }
  }

  /** The latency is counted from the client's return if the client waited for its Retry-After. */
  private void recordServed(Query query, double admittedAt, boolean afterRetryAfter) {
    double since = afterRetryAfter ? admittedAt : query.firstSentAt();
    query.team().recordServed(now - since <= LATENCY_OBJECTIVE_MS, afterRetryAfter);
  }
}
