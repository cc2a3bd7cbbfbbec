// The interface of this module is Router.java: events in, Actions out. Settings.java is what it
// starts with.
// Decisions and tuned values are here, but for what lies in health; docs/design.md tells their
// origin.
package bitternpulley.policy;

import bitternpulley.health.ClientRetryDetector;
import bitternpulley.health.ConcurrencyLimit;
import bitternpulley.health.PartPriority;
import bitternpulley.health.SlidingWindowSum;
import bitternpulley.health.StallDetector;
import bitternpulley.health.TenantQuotas;
import bitternpulley.health.WorkEstimate;
import bitternpulley.health.ZoneLatency;
import bitternpulley.policy.State.Attempt;
import bitternpulley.policy.State.PartState;
import bitternpulley.policy.State.QueryState;
import bitternpulley.policy.State.Server;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/** The decisions of one front node, in the order of a query's life. */
public final class RoutingPolicy implements Router {
  // --- The design's open choices -----------------------------------------------------------------
  /** s: share of a step's parts, heaviest first, that must be in for an early end. */
  private static final double EARLY_SHARE = 0.75;

  /** t: share of a step's parts, heaviest first, whose absence extends the wait. */
  private static final double EXTEND_SHARE = 0.5;

  /** u: percentile of past best waits to which the wait is extended. */
  private static final double EXTEND_PERCENTILE = 0.9;

  /** Record span in steps and in ms; fewer steps than the least are a handful: an empty record. */
  private static final int RECORD_STEPS = 60;

  private static final double RECORD_AGE = 60_000;
  private static final int RECORD_LEAST = 20;

  /** Share of a step's time to its aim at which a part cut off counts as due: safely before it. */
  private static final double CENSORED_AT = 0.9;

  /** Weight of a new latency in the smoothed one: about the last five answers speak. */
  private static final double SMOOTHING = 0.2;

  // --- Time and weight ---------------------------------------------------------------------------
  /** Sums of weights may fall short by rounding; half of what the rules forgive. */
  private static final double ROUNDING = 5e-5;

  /**
   * Ticks by which an answer leaves ahead of the aim or the client's time: to decide and to travel.
   */
  private static final double LEAD_TICKS = 3;

  /** Usual latencies kept for a second step: the last of a few parts is awaited. */
  private static final double SECOND_STEP = 3;

  /** Ms after which a part that found no server is tried again. */
  private static final double HOLD = 50;

  // --- Further attempts --------------------------------------------------------------------------
  /**
   * An attempt is late after so many times its replica's expected time; a suspect's is late sooner.
   */
  private static final double LATE_FACTOR = 4;

  private static final double LATE_FACTOR_SUSPECT = 2;

  /**
   * Usual latencies after which a suspect's attempt is called off though no other server could take
   * the part. Guards against a slow server, alone with its sections, that works on parts which
   * nobody awaits any more.
   */
  private static final double ALONE = 16;

  /**
   * A copy sets off so many usual latencies before T*, and while the budget still counts its query.
   */
  private static final double LANDING_ROOM = 3;

  /**
   * Share of a step's weight that must be in before merely late parts are copied: all late alike is
   * load.
   */
  private static final double STRAGGLERS_AFTER = 0.6;

  /**
   * Share of the budget for second copies; the rest is kept for parts that have no attempt out at
   * all.
   */
  private static final double COPY_BUDGET = 0.7;

  // --- Overload ----------------------------------------------------------------------------------
  /** Usual latencies above which a server's own tells of itself, not of the load. */
  private static final double SLOW_ALONE = 3;

  private static final double SLOW_STILL = 1.5;

  /** Expected times that must fit before the aim: a query waits for the last of its parts. */
  private static final double TAIL = 1.5;

  /** Average latencies that a refused client is advised to stay away. */
  private static final double ADVICE = 2;

  /** Share of the places for open queries and parts beyond which held queries are refused. */
  private static final double OPEN_SHARE = 0.8;

  /** Share of cost within which replicas tie, for each unit of the price of crossing zones. */
  private static final double ZONE_BAND = 5;

  // --- Health ------------------------------------------------------------------------------------
  /** Failures in a row that make a server suspect: one may be chance. */
  private static final int SUSPECT_STREAK = 2;

  /**
   * A server is silent when its oldest part waits so many usual latencies and nothing came since.
   */
  private static final double SILENCE_FACTOR = 4;

  /** So many usual latencies is the most that a server's own counts as in that. */
  private static final double SILENCE_STRETCH = 1.5;

  /** Usual latencies until a suspect's first trial part, and the longest pause between trials. */
  private static final double TRIAL_GAP = 4;

  private static final double TRIAL_GAP_MOST = 16;

  /**
   * Usual latencies after which a server that was full is asked again: its queue has moved on by
   * then.
   */
  private static final double FULL_FOR = 2;

  /**
   * Answers to parts sent later to the same server after which a part counts as swallowed there.
   */
  private static final int OVERTAKEN = 8;

  /** Average latency, as a share of the shortest aim, until the first answer has come. */
  private static final double FIRST_LATENCY = 0.1;

  /**
   * Ms unheard after which a part goes over a fresh connection: a handshake costs little of its
   * work.
   */
  private static final double FRESH_AFTER = 700;

  /** Weight of one outcome in a smoothed failure rate, and the most that counts of any. */
  private static final double FAILURE_SMOOTHING = 0.15;

  private static final double FAILURE_MOST = 0.8;

  /** Ticks that a part's work must take for the gap between two answers to tell of cores. */
  private static final double CORES_TOLD_BY = 4;

  /** Ms in which what sets an unheard server's latency apart from its zone's halves. */
  private static final double FORGET_HALF = 4000;

  // --- Guards ------------------------------------------------------------------------------------
  /** Ms a discovery call waits after an error, at first and at most. */
  private static final double WATCH_GAP = 500;

  private static final double WATCH_GAP_MOST = 4000;

  /** Share of all limits that is for a process whose successor has taken over. */
  private static final double LEAVING_SHARE = 0.2;

  private final Settings settings;
  private final Settings.Rules rules;
  private final Random random;
  private final double lead;
  private final State.Fleet fleet;
  private final Map<Long, QueryState> queries = new HashMap<>();
  private final Map<Long, QueryState> byNumber = new HashMap<>();
  private final Map<Long, PartState> parts = new HashMap<>();
  private final Set<QueryState> held = new LinkedHashSet<>();
  private final Set<QueryState> dirty = new LinkedHashSet<>();
  private final List<ArrivalRecord[]> records = new ArrayList<>();
  private final SlidingWindowSum taken;
  private final SlidingWindowSum extras;
  private final TenantQuotas tenants;
  private final List<ClientRetryDetector> firstTries = new ArrayList<>();
  private final List<ZoneLatency> ways = new ArrayList<>();
  private final double firstLatency;

  /**
   * The yardstick for what is late: the quickest zone's latency, which no slow way or zone can
   * stretch.
   */
  private double usual;

  private final ConcurrencyLimit limit = new ConcurrencyLimit();
  private final WorkEstimate estimate = new WorkEstimate();
  private final StallDetector stall = new StallDetector();

  /** Parts out that are not late: what a silent server sits on says nothing of the others' load. */
  private int partsOut;

  private boolean freed;
  private double watchGap = WATCH_GAP;
  private double share = 1;
  private double now;
  private Actions out;

  /** A new instance: it knows its settings and nothing else. */
  public RoutingPolicy(Settings settings, long seed, double now, Actions out) {
    this.settings = settings;
    this.rules = settings.rules();
    this.random = new Random(seed);
    this.lead = LEAD_TICKS * settings.tick();
    this.fleet = new State.Fleet(settings);
    settings
        .classes()
        .forEach(
            c ->
                records.add(
                    new ArrivalRecord[] {
                      new ArrivalRecord(RECORD_STEPS, RECORD_AGE),
                      new ArrivalRecord(RECORD_STEPS, RECORD_AGE)
                    }));
    firstLatency =
        FIRST_LATENCY
            * settings.classes().stream().mapToDouble(c -> c.latencyObjective()).min().orElse(1);
    usual = firstLatency;
    settings.classes().forEach(c -> firstTries.add(new ClientRetryDetector()));
    tenants = new TenantQuotas(settings.tenants());
    taken = new SlidingWindowSum(rules.retryBudgetWindow() - settings.tick());
    extras = new SlidingWindowSum(rules.retryBudgetWindow() + settings.tick());
    if (settings.endpointsOnRequest()) {
      out.watchEndpoints();
    }
  }

  // --- The list of servers -----------------------------------------------------------------------

  @Override
  public void onServersChanged(ListKind kind, List<Endpoint> entries, double now, Actions out) {
    at(now, out);
    if (kind == ListKind.FAILED) {
      if (settings.endpointsOnRequest()) {
        out.scheduleAlarm(now + watchGap * (1 + random.nextDouble()), "watch");
        watchGap = Math.min(2 * watchGap, WATCH_GAP_MOST);
      }
      return;
    }
    watchGap = kind == ListKind.REMEMBERED ? watchGap : WATCH_GAP;
    entries.forEach(this::note);
    if (kind == ListKind.REMEMBERED) {
      limit.reset(fleet.servers().size());
    }
    if (kind != ListKind.CHANGES) {
      Set<String> named = entries.stream().map(Endpoint::server).collect(Collectors.toSet());
      fleet.servers().stream()
          .filter(s -> !named.contains(s.id))
          .forEach(s -> s.state = ServerState.GONE);
    }
    fleet.prune();
  }

  /** It counts as started just now, and is owed a part as soon as the cold budget allows. */
  @Override
  public void onServerReadmitted(Endpoint m, double now, Actions out) {
    at(now, out);
    note(new Endpoint(m.server(), m.zone(), m.cell(), m.state(), now));
    fleet.get(m).owed = true;
  }

  private void note(Endpoint m) {
    Server s = fleet.get(m);
    if (s.trialGap == 0) {
      s.trialGap = TRIAL_GAP;
      s.tie = random.nextDouble() + (s.zone == settings.zone() ? 0 : 1);
    }
    s.state = m.state();
    if (m.startedAt() > s.startedAt) {
      // A new process under an old id has nothing of the old one's latency or failures, and is
      // cold.
      s.startedAt = m.startedAt();
      s.cold.recordStart(m.startedAt());
      s.forget();
    }
  }

  // --- A query and its parts arrive --------------------------------------------------------------

  @Override
  public void onHotRestart(HotRestartRole role) {
    share =
        role == HotRestartRole.NONE
            ? 1
            : role == HotRestartRole.SUCCESSOR ? LEAVING_SHARE : 1 - LEAVING_SHARE;
  }

  @Override
  public void useQuota(QuotaShare portion) {
    fleet.portion = portion;
  }

  @Override
  public OptionalDouble rejectionDelay(int pending) {
    return pending < share * settings.limits().maxPending()
        ? OptionalDouble.empty()
        : OptionalDouble.of(advice());
  }

  @Override
  public void onQuery(Query query, double now, Actions out) {
    at(now, out);
    taken.add(now, 1);
    tenants.recordRequest(query.tenant(), query.parts(), now);
    int c = query.queryClass();
    Settings.QueryClass kind = query.terms().applyTo(settings.classes().get(c));
    double aim =
        Math.min(
            kind.latencyObjective() + kind.objectiveStretch() * query.estimatedWork(),
            kind.deadline());
    if (!query.terms().clientSetTimeout()
        && firstTries.get(c).recordAndClassify(query.timeLeft())) {
      // The client's clock has run since its first try, and this one has what is left of the
      // deadline.
      aim -= kind.deadline() - query.timeLeft();
    }
    double end = now + query.lateness().timeLeft(query.timeLeft(), lead);
    aim -= query.lateness().unreadFor() + lead;
    QueryState q = new QueryState(query, kind, now, Math.min(now + aim, end), end);
    queries.put(query.id(), q);
    byNumber.put(query.number(), q);
    dirty.add(q);
  }

  @Override
  public void onPart(Part part, double now, Actions out) {
    at(now, out);
    taken.add(now, 1);
    QueryState q = byNumber.get(part.number());
    if (q == null) {
      return;
    }
    PartState p = new PartState(part, q);
    q.parts.add(p);
    q.missing.add(p);
    parts.put(part.id(), p);
    dirty.add(q);
  }

  /** Refuses what cannot be answered by its aim: no work is spent, and the client knows at once. */
  private boolean refused(QueryState q) {
    double room = q.aimAt - now;
    // Where nothing is out, estimates are old: one query finds out how things stand.
    double tail = partsOut == 0 ? 0 : TAIL;
    double reachable = 0;
    for (PartState p : q.parts) {
      Server s = pick(p, true);
      if (s == null
          ? opensAt(p, q.aimAt) + tail * usual <= q.aimAt
          : tail * latency(s) <= room || suspect(s) && now >= s.trialAt) {
        reachable += p.part.weight();
      }
    }
    if (room > 0 && reachable >= q.kind.minimumShare() - ROUNDING) {
      return false;
    }
    giveUp(q);
    return true;
  }

  /** Starts held queries while the window has room, most worth per work first, then oldest aim. */
  private void admitHeld() {
    // Guards against a node busy with nothing but the queries it holds: each is looked at now and
    // then.
    if (limit.isReached(partsOut) && held.stream().noneMatch(q -> now >= q.checkAt)) {
      return;
    }
    List<QueryState> order = new ArrayList<>(held);
    order.sort(
        Comparator.<QueryState>comparingDouble(q -> -worthPerWork(q))
            .thenComparingDouble(q -> q.aimAt));
    int load = partsOut;
    for (QueryState q : order) {
      if (limit.isReached(load) && now < q.checkAt) {
        continue;
      }
      q.checkAt = now + HOLD;
      if (!refused(q) && !limit.isReached(load)) {
        held.remove(q);
        q.awaitsParts = false;
        startStep(q);
        load += q.parts.size();
        dirty.add(q);
      } else if (!q.over) {
        wakeAt(q, Math.min(q.aimAt, Math.max(now + HOLD, q.aimAt - usual)));
      }
    }
    int open = queries.values().stream().mapToInt(q -> 1 + q.missing.size()).sum();
    for (int i = order.size() - 1;
        i >= 0 && open > OPEN_SHARE * share * settings.limits().maxPending();
        i--) {
      if (held.contains(order.get(i))) {
        open -= order.get(i).missing.size() + 1;
        giveUp(order.get(i));
      }
    }
  }

  private double worthPerWork(QueryState q) {
    double worth =
        q.kind.priorityWeight()
            * (tenants.isOverQuota(q.query.tenant(), now) ? settings.overQuotaWeight() : 1);
    return settings.weightByWork() ? worth : worth / q.parts.size();
  }

  private boolean isTimely(Attempt a, double took) {
    return took <= limit.timelyLatency(a.part.query.kind.latencyObjective(), work(a.part));
  }

  private void steerLimit(Attempt a, double took) {
    if (isTimely(a, took)) {
      limit.recordTimely(partsOut);
    } else if (a.server.latency <= SLOW_ALONE * usual
        && stall.stallAdjustedTime(a.sent) <= a.sent) {
      // A server that is slower than the rest by far, or a stall, is not what fewer parts out would
      // help.
      limit.recordLate();
    }
  }

  @Override
  public void completeBatch(double now, Actions out) {
    at(now, out);
    while (freed || !dirty.isEmpty()) {
      freed = false;
      List<QueryState> round = new ArrayList<>(dirty);
      dirty.clear();
      round.forEach(this::review);
      if (dirty.isEmpty() && !held.isEmpty()) {
        admitHeld();
      }
    }
  }

  private void review(QueryState q) {
    if (q.over) {
      return;
    }
    if (!q.parts.isEmpty() && q.awaitsParts) {
      if (q.step == 1) {
        held.add(q);
        return;
      }
      q.awaitsParts = false;
      startStep(q);
    }
    // Guards against a query of very many parts, each of whose answers would have all the others
    // looked at.
    if (!finish(q) && now >= q.lookAt) {
      if (!hopeless(q)) {
        pursue(q);
      }
      if (hopeless(q)) {
        giveUp(q);
      } else {
        wake(q);
      }
    }
  }

  /** Sets the base wait T*, by the record of the class and step. */
  private void startStep(QueryState q) {
    q.stepStart = now;
    q.arrivals.start(now);
    q.stepAim = q.aimAt - (q.step == 1 && q.kind.secondStepParts() > 0 ? SECOND_STEP * usual : 0);
    q.stepAim = Math.max(q.stepAim, q.stepStart);
    double aimLeft = q.stepAim - q.stepStart;
    ArrivalRecord record = record(q);
    double wait = aimLeft;
    if (!record.thin(now, RECORD_LEAST)) {
      wait = record.best(t -> worthAt(q, t), w -> valueOf(q, w));
      wait = q.kind.latePriorityWeight() > 0 ? wait : Math.min(wait, aimLeft);
    }
    q.waitUntil = q.stepStart + wait;
    q.extendTo = -1;
  }

  /** Full worth up to the aim; what the class still pays after it. */
  private double worthAt(QueryState q, double wait) {
    return q.stepStart + wait <= q.stepAim
        ? 1
        : q.stepStart + wait <= q.endBy ? q.kind.latePriorityWeight() : 0;
  }

  /** What an answer from so much weight earns, as a share of a whole one's worth. */
  private double valueOf(QueryState q, double weight) {
    double need = q.step == 1 ? q.kind.completeShare() : 1;
    if (weight >= need - ROUNDING) {
      return 1;
    }
    return weight >= q.kind.minimumShare() - ROUNDING
        ? q.kind.partialPriorityWeight() * weight / need
        : 0;
  }

  // --- When to answer ----------------------------------------------------------------------------

  /**
   * Ends the query or its step if its time has come; true when nothing more is to be done for it
   * now.
   */
  private boolean finish(QueryState q) {
    if (q.awaitsParts && now < q.endBy) {
      return false;
    }
    double in = q.in;
    double need = q.step == 1 ? q.kind.completeShare() : 1;
    if (q.missing.isEmpty() || (q.step == 1 && in >= need - ROUNDING)) {
      answer(q, q.whole);
      return true;
    }
    boolean may = in >= q.kind.minimumShare() - ROUNDING && q.kind.allowsPartialAnswer();
    if (may && (now >= q.endBy || now >= waitEnd(q, in) || endsEarly(q))) {
      answer(q, false);
      return true;
    }
    boolean worthless = q.kind.latePriorityWeight() <= 0 && now >= q.aimAt;
    if (now >= q.endBy || worthless || q.culprit) {
      giveUp(q);
      return true;
    }
    return false;
  }

  /**
   * Guards against silence where what can still come is too little for an answer: it is given up at
   * once.
   */
  private boolean hopeless(QueryState q) {
    double need = q.step == 1 ? q.kind.completeShare() : 1;
    double hope = 1 + ROUNDING - (q.kind.allowsPartialAnswer() ? q.kind.minimumShare() : need);
    for (PartState p : q.missing) {
      hope -= isLost(p) ? p.part.weight() : 0;
    }
    return hope < 0;
  }

  /**
   * When the wait ends as things stand: T*, or the extension while any of the t heaviest is
   * missing.
   */
  private double waitEnd(QueryState q, double in) {
    // Cost past the aim: no wait goes beyond it where a late whole answer pays less than what is in
    // hand.
    boolean mayRunLate = valueOf(q, in) < q.kind.latePriorityWeight();
    if (now < q.waitUntil || heaviestIn(q, EXTEND_SHARE)) {
      return q.waitUntil;
    }
    if (q.extendTo < 0) {
      ArrivalRecord record = record(q);
      double wait =
          record.thin(now, RECORD_LEAST)
              ? q.stepAim + (q.endBy - q.stepAim) / 2 - q.stepStart
              : ArrivalRecord.percentile(
                  record.bests(t -> worthAt(q, t), w -> valueOf(q, w)), EXTEND_PERCENTILE);
      q.extendTo = Math.min(q.stepStart + wait, q.endBy);
    }
    return Math.max(q.waitUntil, mayRunLate ? q.extendTo : Math.min(q.extendTo, q.stepAim));
  }

  /** The s heaviest are in and each missing part's replica is due after T*. */
  private boolean endsEarly(QueryState q) {
    for (PartState p : q.missing) {
      if (dueAt(p) <= q.waitUntil) {
        return false;
      }
    }
    return heaviestIn(q, EARLY_SHARE);
  }

  private boolean heaviestIn(QueryState q, double share) {
    return q.parts.stream()
        .sorted(
            Comparator.<PartState>comparingDouble(p -> -p.part.weight())
                .thenComparingDouble(p -> p.due))
        .limit((int) Math.ceil(share * q.parts.size()))
        .allMatch(p -> p.in);
  }

  /**
   * When a missing part is due by its replica's smoothed latency; an overdue one may come any
   * moment.
   */
  private double dueAt(PartState p) {
    return p.attempts.stream()
        .filter(a -> a.open)
        .mapToDouble(a -> Math.max(now, a.sent + expected(a.server)))
        .min()
        .orElse(isLost(p) ? Double.POSITIVE_INFINITY : now + usual);
  }

  private void answer(QueryState q, boolean complete) {
    out.answer(q.query.id(), complete);
    for (PartState p : q.parts) {
      if (!p.in && !complete) {
        // Guards against a wait that talks itself down: a part cut off by the answer is censored,
        // not
        // absent, and counts as due by the aim, which brings back the longest wait that costs
        // nothing.
        p.in = true;
        double due = q.stepStart + CENSORED_AT * (q.stepAim - q.stepStart);
        q.arrivals.arrive(Math.max(now, due), p.part.weight());
      }
    }
    record(q).add(q.arrivals);
    if (q.step == 1 && q.kind.secondStepParts() > 0) {
      dropParts(q);
      q.clear();
      q.arrivals = new ArrivalRecord.Step();
      q.step = 2;
      q.whole = complete;
      q.awaitsParts = true;
      wakeAt(q, q.endBy);
    } else {
      end(q);
    }
  }

  /**
   * The final answer of a query given up on, at once: a refusal where that is known to be harmless.
   */
  private void giveUp(QueryState q) {
    boolean harmless =
        q.kind.idempotency() == Settings.Idempotency.IDEMPOTENT
            || q.parts.stream().noneMatch(PartState::mayHaveRun);
    if (harmless) {
      out.reject(q.query.id(), advice());
    } else {
      out.fail(q.query.id());
    }
    if (!q.awaitsParts) {
      record(q).add(q.arrivals);
    }
    end(q);
  }

  /** The client is told to come back when what is out now should have been served. */
  private double advice() {
    return settings.limits().retryAfterAllowed()
        ? Math.min(settings.limits().maxRetryAfter(), ADVICE * usual)
        : 0;
  }

  private void end(QueryState q) {
    q.over = true;
    held.remove(q);
    dropParts(q);
    queries.remove(q.query.id());
    byNumber.remove(q.query.number());
  }

  /** Calls off what no longer serves. */
  private void dropParts(QueryState q) {
    for (PartState p : q.parts) {
      p.attempts.forEach(o -> cancel(p, o));
      if (p.openCount == 0) {
        parts.remove(p.part.id());
      }
    }
  }

  private void cancel(PartState p, Attempt a) {
    if (a.open && !a.cancelled && settings.limits().cancellationAllowed()) {
      a.cancelled = true;
      out.cancel(p.part.id(), a.number);
    }
  }

  // --- Sending -----------------------------------------------------------------------------------

  private void pursue(QueryState q) {
    for (PartState p : q.missing) {
      if (p.openCount == 0) {
        p.opensAt = now;
        if (p.attempts.isEmpty() || mayTryAgain(p, false)) {
          send(p, pick(p, true));
        }
      } else {
        late(p.lastOpen());
        if (now >= copyDue(p) && p.openCount > 1) {
          // Two that are late: the older one makes room, so that a part held by two silent servers
          // goes on.
          cancel(p, p.firstOpen());
        } else if (now >= copyDue(p)) {
          further(p);
        }
      }
    }
  }

  private void send(PartState p, Server s) {
    if (s == null) {
      p.opensAt = opensAt(p, p.query.endBy);
      wakeAt(p.query, now + HOLD);
      return;
    }
    if (!p.attempts.isEmpty()) {
      extras.add(now, 1);
    }
    Attempt a = new Attempt(p, s, p.attempts.size(), now, expected(s));
    p.attempts.add(a);
    p.openCount++;
    p.due = Math.min(p.due, now + a.expected);
    if (suspect(s)) {
      s.trialAt = now + s.trialGap * usual;
      s.trialGap = Math.min(2 * s.trialGap, TRIAL_GAP_MOST);
    }
    if (s.out.isEmpty() && now - s.lastHeard > FRESH_AFTER && !suspect(s)) {
      // Guards against connections that die silently while idle and swallow what is sent next,
      // unless new
      // ones are what fails: then the open ones are kept.
      a.fresh = way(s.zone).admitNewConnection() && settings.costs().handshake() <= 0;
      if (a.fresh) {
        out.closeIdleConnections(s.id);
      }
    }
    s.owed = false;
    a.alone = s.out.isEmpty() && s.cold.warmupFraction(now) >= 1 && !s.slow;
    s.out.add(a);
    s.joined(now);
    partsOut++;
    s.cold.recordSent(now, work(p));
    double end = p.query.kind.latePriorityWeight() > 0 ? p.query.endBy : p.query.aimAt;
    out.send(p.part.id(), s.id, Math.max(1, end - now + settings.tick()));
  }

  /** Least smoothed latency x (own parts out + 1); suspects only where nothing else is left. */
  private Server pick(PartState p, boolean forSend) {
    Server best = null;
    double bestCost = 0;
    int bestRank = 0;
    for (Server s : fleet.holders(p.part.shard())) {
      // Guards against parts that use up their attempts within a moment, on a server that ends each
      // at once.
      boolean barred =
          s.down && now < s.trialAt
              || now < p.barredUntil(s, FULL_FOR * usual)
              || forSend && s.slow && !s.room.hasCapacity(s.out.size(), priority(p.query), now);
      if (s.state != ServerState.LIVE
          || barred
          || now < s.fullUntil
          || p.openAt(s)
          || !s.cold.allows(work(p), priority(p.query), share, now)) {
        continue;
      }
      // Guards against a server let back in that is passed by for good, since a cold one looks
      // slow.
      boolean trial = forSend && (s.owed || suspect(s) && now >= s.trialAt);
      int rank = p.tried(s) || suspect(s) && !trial ? 1 : 0;
      double far = s.zone == settings.zone() ? 0 : ZONE_BAND * settings.costs().crossZone();
      double arrives = way(s.zone).inTimeShare();
      // By call where calls are shared: one that is forming takes a part in, and costs no more by
      // itself.
      Settings.Layout layout = settings.layout();
      double call =
          s.forms(now, layout.maxPartsPerCall()) ? 0 : layout.callWork() / Math.max(1, work(p));
      double cost =
          trial ? 0 : expected(s) * (s.out.size() + 1 + call) * (1 + far) / (arrives * arrives);
      if (best == null
          || rank < bestRank
          || rank == bestRank && (cost < bestCost || cost == bestCost && s.tie < best.tie)) {
        best = s;
        bestCost = cost;
        bestRank = rank;
      }
    }
    return best;
  }

  /**
   * When a holder could take a part that none takes now, as far as its state tells: at a trial, as
   * a queue moves, at a turn with a cold one. Infinity where not by {@code until}. Guards against
   * silence to the end.
   */
  private double opensAt(PartState p, double until) {
    double first = Double.POSITIVE_INFINITY;
    for (Server s : fleet.holders(p.part.shard())) {
      double at = Math.max(now, Math.max(s.fullUntil, p.barredUntil(s, FULL_FOR * usual)));
      at =
          Math.max(
              s.down ? Math.max(at, s.trialAt) : at,
              s.slow ? s.room.nextCapacityAt(s.out.size(), priority(p.query), now) : now);
      at =
          s.state != ServerState.LIVE || at >= first
              ? first
              : s.cold.nextAllowedAt(work(p), priority(p.query), share, at, until);
      first = Math.min(first, at);
    }
    return first;
  }

  /**
   * A part that only serves a late answer, or one that may be given though all that is unsent stays
   * so.
   */
  private PartPriority priority(QueryState q) {
    boolean early = now < q.stepStart + LATE_FACTOR * usual;
    boolean spared =
        q.kind.allowsPartialAnswer() && (early || q.due() >= q.kind.minimumShare() - ROUNDING);
    return now >= q.aimAt || spared ? PartPriority.DEFERRABLE : PartPriority.URGENT;
  }

  private ZoneLatency way(int zone) {
    while (ways.size() <= zone) {
      ways.add(new ZoneLatency(firstLatency));
    }
    return ways.get(zone);
  }

  // --- Further attempts --------------------------------------------------------------------------

  /** When a part with one attempt out should get another: once it is late. */
  private double copyDue(PartState p) {
    Attempt a = p.lastOpen();
    if (suspect(a.server) || a.overtaken >= OVERTAKEN) {
      // Guards against parts that sit for seconds where little is hoped for: a suspect's own
      // expected time is
      // stretched by the very failures that made it one, so the others' time is the yardstick.
      return a.sent + LATE_FACTOR_SUSPECT * usual;
    }
    double landing = p.query.waitUntil - LANDING_ROOM * usual;
    double counted = p.query.stepStart + rules.retryBudgetWindow() - HOLD;
    return Math.max(
        a.sent + LATE_FACTOR * usual,
        rules.retriesBudgeted() ? Math.min(landing, counted) : landing);
  }

  /**
   * A second copy where copies are allowed; elsewhere the attempt is first called off, on a
   * suspect.
   */
  private void further(PartState p) {
    if (settings.limits().hedgingAllowed()) {
      Server s = pick(p, false);
      boolean straggler = suspect(p.lastOpen().server) || p.query.in >= STRAGGLERS_AFTER;
      if (straggler && s != null && (!suspect(s) || now >= s.trialAt) && mayTryAgain(p, true)) {
        send(p, s);
      }
    } else if (p.query.kind.idempotency() != Settings.Idempotency.NON_IDEMPOTENT
        && budget(true)
        && (p.lastOpen().overtaken >= OVERTAKEN
            || suspect(p.lastOpen().server)
                && (pick(p, false) != null || now >= p.lastOpen().sent + ALONE * usual))) {
      p.attempts.forEach(o -> cancel(p, o));
    }
  }

  private void late(Attempt a) {
    if (!a.late && now >= a.sent + LATE_FACTOR * usual) {
      a.late = true;
      partsOut--;
      way(a.server.zone).recordLate();
    }
  }

  /** The one gate for every attempt beyond a part's first. */
  private boolean mayTryAgain(PartState p, boolean copy) {
    QueryState q = p.query;
    boolean copies =
        settings.limits().hedgingAllowed()
            && q.kind.idempotency() != Settings.Idempotency.NON_IDEMPOTENT;
    // Guards against queries that crash what begins them: broken somewhere and answered nowhere,
    // only one of
    // its parts is tried again, and if that breaks too the query is the common cause and is given
    // up.
    boolean cleared = !q.broken || q.in > 0 || q.parts.stream().noneMatch(o -> o.openCount > 0);
    return cleared
        && !isLost(p)
        && p.attempts.size() < settings.limits().maxAttempts()
        && (p.openCount == 0 || copy && copies)
        && now + usual <= q.endBy
        && budget(copy);
  }

  private boolean budget(boolean copy) {
    double allowed = rules.retryBudgetFloor() + rules.retryBudgetShare() * taken.sum(now);
    return !rules.retriesBudgeted() || extras.sum(now) + 1 <= allowed * (copy ? COPY_BUDGET : 1);
  }

  /** A part that has no attempt out and may have none any more, or can have none in time. */
  private boolean isLost(PartState p) {
    boolean inTime = p.opensAt + usual <= p.query.endBy;
    if (p.openCount > 0 || !inTime || p.attempts.isEmpty()) {
      return p.openCount == 0 && !inTime;
    }
    boolean spent = p.attempts.size() >= settings.limits().maxAttempts();
    return spent
        || p.mayHaveRun()
            && switch (p.query.kind.idempotency()) {
              case IDEMPOTENT -> false;
              case NON_IDEMPOTENT -> true;
              case KEYED ->
                  now
                      > p.attempts.stream().filter(a -> !a.neverRan).findFirst().orElseThrow().sent
                          + p.query.kind.idempotencyWindow()
                          - settings.tick();
            };
  }

  // --- Outcomes and health -----------------------------------------------------------------------

  @Override
  public void onAttemptEnded(AttemptEnded e, double now, Actions out) {
    at(now, out);
    PartState p = parts.get(e.part());
    if (p == null || e.attempt() >= p.attempts.size() || !p.attempts.get(e.attempt()).open) {
      return;
    }
    Attempt a = p.attempts.get(e.attempt());
    a.open = false;
    a.neverRan = e.outcome().neverRan();
    p.openCount--;
    partsOut -= a.late ? 0 : 1;
    freed = a.server.out.remove(a);
    learn(a, e);
    if (e.outcome() == Outcome.OK) {
      // Guards against a part that is swallowed on its way or there, while others are answered.
      a.server.out.stream()
          .filter(o -> o.sent < a.sent && ++o.overtaken == OVERTAKEN)
          .forEach(o -> dirty.add(o.part.query.inNeed()));
    }
    if (e.outcome() == Outcome.OK && !p.in) {
      // Late arrivals count as well: the record holds when the part came, answered or not.
      p.step.arrive(now, p.part.weight());
      p.query.arrived(p);
      p.attempts.forEach(o -> cancel(p, o));
    }
    boolean serves = !p.query.over && p.query.parts.contains(p);
    if (serves) {
      dirty.add(p.in && !p.query.broken ? p.query : p.query.inNeed());
    } else if (p.openCount == 0) {
      parts.remove(e.part());
    }
  }

  private void learn(Attempt a, AttemptEnded e) {
    Server s = a.server;
    double took = Math.max(e.elapsed(), now - a.sent);
    // A dead process refuses at once; what takes so long is the way or the handshake.
    boolean noWay =
        e.outcome() == Outcome.UNREACHABLE && took > settings.limits().connectTimeout() / 2;
    if (a.fresh || noWay && !suspect(s)) {
      if (noWay) {
        way(s.zone).recordConnectionFailed();
      } else {
        way(s.zone).recordConnectionEstablished();
      }
    }
    if (e.outcome() == Outcome.OK || !isTimely(a, took)) {
      steerLimit(a, took);
    }
    switch (e.outcome()) {
      case OK -> {
        stall.recordAnswer(now, usual, fleet.servers());
        if (isTimely(a, took)) {
          s.room.recordTimelyAnswer(a.sent, s.out.size());
        } else {
          s.room.recordLateAnswer(a.sent, now);
        }
        smooth(s, took);
        if (a.alone) {
          estimate.recordSoleRequestAnswer(took);
        } else {
          estimate.recordAnswer(took);
        }
        learnCores(a);
        if (!a.late) {
          way(s.zone).recordInTime();
        }
        s.failures *= 1 - FAILURE_SMOOTHING;
        // Back from refusals: whatever the list says, the process is young.
        if (s.down) {
          s.cold.recordStart(now);
        }
        s.down = false;
        s.streak = 0;
        s.trialGap = TRIAL_GAP;
        s.lastHeard = now;
      }
      case CANCELLED, TIMEOUT -> {
        s.room.recordCancelled(a.sent);
        if (took > expected(s)) {
          smooth(s, took);
        }
        unanswered(a, took);
      }
      case ERROR -> failed(s);
      case REJECTED -> {
        // Guards against queues that never drain: what a full one takes in is given up before its
        // turn.
        // It is sound all the same: a longer pause would leave it idle while the others fill up in
        // turn.
        s.fullUntil = now + FULL_FOR * usual;
        s.room.recordRejection(s.out.size(), now);
      }
      case UNREACHABLE, RESET -> {
        boolean broken = e.outcome() == Outcome.RESET;
        a.part.query.culprit |= broken && a.number > 0 && a.part.query.in == 0;
        a.part.query.broken |= broken;
        // One connection that breaks is not its server: a dead one refuses the next.
        s.down |= !broken && !noWay;
        // One connection's end counts once, and not against a server that answers over others.
        if (!broken || s.lastHeard <= a.sent && now - s.brokenAt > HOLD) {
          failed(s);
        }
        s.brokenAt = broken ? now : s.brokenAt;
      }
    }
  }

  private void learnCores(Attempt a) {
    Server s = a.server;
    double work = work(a.part);
    boolean tells =
        work >= CORES_TOLD_BY * settings.tick() && s.cold.warmupFraction(a.sent) >= 1 && !s.slow;
    if (a.sent < s.lastHeard && tells) {
      fleet.cores.recordAnswerGap(now - s.lastHeard, work);
    }
  }

  private void smooth(Server s, double took) {
    ZoneLatency way = way(s.zone);
    s.latency = s.latency == 0 ? way.latency() : s.latency;
    s.latency += SMOOTHING * (took - s.latency);
    way.recordLatency(took);
    usual = ways.stream().mapToDouble(ZoneLatency::measuredLatency).min().orElse(usual);
    s.slow = s.latency > (s.slow ? SLOW_STILL : SLOW_ALONE) * usual;
  }

  /** A failure says nothing of speed, so that quick errors do not make a server look fast. */
  private void failed(Server s) {
    s.failures += FAILURE_SMOOTHING * (1 - s.failures);
    s.streak++;
    if (suspect(s)) {
      s.trialAt = Math.max(s.trialAt, now + s.trialGap * usual);
    }
  }

  /** Evidence against a server: failures in a row, refused connections, or silence. */
  private boolean suspect(Server s) {
    return s.down || s.streak >= SUSPECT_STREAK || silent(s);
  }

  /**
   * Guards against servers that swallow parts, all or some: a part called off or timed out long
   * after the usual time is a failure, though others are answered; where nothing came since,
   * silence is kept.
   */
  private void unanswered(Attempt a, double took) {
    if (took > silenceAfter(a.server)) {
      if (a.server.lastHeard <= a.sent) {
        a.server.streak = Math.max(a.server.streak, SUSPECT_STREAK - 1);
      }
      failed(a.server);
    }
  }

  private boolean silent(Server s) {
    double waits = oldestAge(s);
    return s.lastHeard <= now - waits
        && now - stall.stallAdjustedTime(now - waits) > silenceAfter(s)
        && !stall.isStalled(now, usual, fleet.servers());
  }

  private double silenceAfter(Server s) {
    // Guards against a server that grows less suspect the longer it keeps silent: each part called
    // off there
    // adds to its smoothed latency, which must not stretch the time it is given without bound.
    return SILENCE_FACTOR * Math.max(usual, Math.min(s.latency, SILENCE_STRETCH * usual));
  }

  /** A server's latency times the tries that a success takes. */
  private double expected(Server s) {
    double success = 1 - Math.min(s.failures, FAILURE_MOST);
    return latency(s) / (success * success);
  }

  /** Smoothed latency, at least the silence that the oldest part out has met. */
  private double latency(Server s) {
    double latency = way(s.zone).latency() / s.cold.warmupFraction(now);
    if (s.latency > 0) {
      double unheard = s.out.size() > 0 ? 0 : now - Math.max(s.lastHeard, 0);
      latency += (s.latency - latency) * Math.pow(0.5, unheard / FORGET_HALF);
    }
    // Guards against one part that is never answered making a server that answers all others look
    // slow.
    return Math.max(latency, Math.min(oldestAge(s), now - s.lastHeard));
  }

  /** Age of the oldest part that waits at a server; 0 where none does. */
  private double oldestAge(Server s) {
    return Math.max(0, now - s.oldestSentAt());
  }

  /** The work of a part: as hinted, else by what answers take. */
  private double work(PartState p) {
    return p.part.estimatedWork() > 0 ? p.part.estimatedWork() : estimate.estimate(usual);
  }

  // --- Alarms and ends ---------------------------------------------------------------------------

  private void wake(QueryState q) {
    double next = q.kind.latePriorityWeight() > 0 && now >= q.aimAt ? q.endBy : q.aimAt;
    if (!q.awaitsParts) {
      next = earliest(next, q.waitUntil);
      next = earliest(earliest(next, q.extendTo), q.stepAim);
      for (PartState p : q.missing) {
        if (p.openCount > 0) {
          Attempt a = p.lastOpen();
          // A server turns silent without an event: look again by then.
          next = earliest(next, a.sent + silenceAfter(a.server) + 1);
          next = earliest(next, a.sent + LATE_FACTOR * usual + 1);
          next = earliest(next, Math.max(copyDue(p), now + HOLD));
        } else if (!p.attempts.isEmpty()) {
          next = earliest(next, now + HOLD);
        }
      }
    }
    q.lookAt = Math.min(next, now + HOLD);
    wakeAt(q, next);
  }

  private double earliest(double next, double candidate) {
    return candidate > now ? Math.min(next, candidate) : next;
  }

  private void wakeAt(QueryState q, double time) {
    if (time < q.alarm) {
      q.alarm = time;
      out.scheduleAlarm(time, "q" + q.query.id());
    }
  }

  @Override
  public void onAlarm(String token, double now, Actions out) {
    at(now, out);
    if (token.equals("watch")) {
      out.watchEndpoints();
    } else if (token.startsWith("q")) {
      QueryState q = queries.get(Long.parseLong(token.substring(1)));
      if (q != null) {
        // An alarm may ring a hair before its time, which is rounded on its way: it is set anew all
        // the same.
        q.alarm = q.alarm <= now + settings.tick() ? Double.POSITIVE_INFINITY : q.alarm;
        dirty.add(q.inNeed());
      }
    }
  }

  @Override
  public void onClientDisconnected(long query, double now, Actions out) {
    at(now, out);
    QueryState q = queries.get(query);
    if (q != null) {
      end(q);
    }
  }

  private ArrivalRecord record(QueryState q) {
    return records.get(q.query.queryClass())[Math.min(q.step, 2) - 1];
  }

  private void at(double now, Actions out) {
    this.now = now;
    this.out = out;
  }
}
