package bitternpulley.broker;

import bitternpulley.broker.PendingRequests.Open;
import bitternpulley.broker.PendingRequests.Out;
import bitternpulley.broker.PendingRequests.Part;
import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.leases.Leases;
import bitternpulley.membership.Membership;
import bitternpulley.policy.RoutingPolicy;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The one place where the state of requests, parts and attempts changes. It tells the module what
 * happens, and turns what the module does into effects; it decides nothing itself.
 */
public final class Reducer {
  private static final System.Logger LOG = System.getLogger(Reducer.class.getName());

  private final Settings settings;
  private final Router router;
  private final PendingRequests held = new PendingRequests();
  private final ArrayDeque<Event> inner = new ArrayDeque<>();
  private final Recorder recorder = new Recorder();
  private final ServerDirectory roster = new ServerDirectory();
  private final ContractAccounting contractAccounting;
  private final ClusterState peers = new ClusterState();
  private List<Effect> effects = new ArrayList<>();
  private double now;

  public Reducer(Settings settings, long seed, double now) {
    // One attempt of a part is out at a time here. Guards against a module that, where the site
    // permits second copies,
    // counts on copies that end unsent: a part's attempts would be used up while a silent server
    // sits on the first.
    this(
        settings,
        now,
        recorder -> new RoutingPolicy(settings.withoutHedging(), seed, now, recorder));
  }

  /** As above, with another module. */
  Reducer(Settings settings, double now, Function<Router.Actions, Router> module) {
    this.settings = settings;
    this.now = now;
    this.router = module.apply(recorder);
    this.contractAccounting = new ContractAccounting(settings);
  }

  /** Requests without a final answer. */
  public int pendingRequests() {
    return held.requests().size();
  }

  /** How the teams' accounts stand, for operators. */
  public ContractAccounting contractAccounting() {
    return contractAccounting;
  }

  /** Who of the other aggregators is here; empty where membership is off. */
  public Optional<Membership> membership() {
    return peers.membership();
  }

  /**
   * This instance's leases; empty where its part of what all may do goes by the number configured.
   */
  public Optional<Leases> leases() {
    return peers.leases();
  }

  /** Takes one event and returns what is to be done, in order. */
  public List<Effect> reduce(Event event, double at) {
    now = Math.max(now, at);
    effects = new ArrayList<>();
    inner.add(event);
    while (!inner.isEmpty()) {
      Event next = inner.poll();
      try {
        apply(next);
        router.completeBatch(now, recorder);
      } catch (RuntimeException e) {
        LOG.log(Level.ERROR, "the module failed on " + next, e);
        failed(next);
      }
    }
    return CallBatcher.join(effects, settings.layout().maxPartsPerCall());
  }

  private void apply(Event event) {
    if (event instanceof Event.RequestReceived e) {
      take(e.request());
    } else if (event instanceof Event.ClientDisconnected e) {
      Open left = forget(e.request());
      if (left != null) {
        contractAccounting.requestEnded(left.charge, false, now, effects);
        router.onClientDisconnected(e.request(), now, recorder);
      }
    } else if (event instanceof Event.ServersChanged e) {
      router.onServersChanged(e.kind(), roster.told(e), now, recorder);
      withdraw();
    } else if (event instanceof Event.ContractsActivated e) {
      contractAccounting.apply(e.book(), now);
    } else if (event instanceof Event.OperatorCommandReceived e) {
      ordered(e);
    } else if (event instanceof Event.OverridesChanged e) {
      stands(e.overrides());
    } else if (event instanceof Event.AttemptEnded e) {
      ended(e.attempt(), e.outcome(), e.value());
    } else if (event instanceof Event.RequestRejectedByServer e) {
      faulted(e);
    } else if (event instanceof Event.AttemptNotSent e) {
      router.onAttemptEnded(
          new Router.AttemptEnded(
              e.attempt().part(), e.attempt().number(), e.server(), Router.Outcome.NOT_SENT, 0),
          now,
          recorder);
    } else if (event instanceof Event.AttemptCancelled e) {
      Out out = held.out(e.attempt());
      if (out != null && out.given != null) {
        ended(e.attempt(), out.given, null);
      }
    } else if (event instanceof Event.AttemptTimedOut e) {
      overdue(e);
    } else if (event instanceof Event.RequestDeadlineExpired e) {
      drop(e.request());
    } else if (event instanceof Event.HotRestartRoleChanged e) {
      router.onHotRestart(e.role());
    } else if (event instanceof Event.AlarmFired e) {
      router.onAlarm(e.token(), now, recorder);
    } else {
      if (event instanceof Event.LeasesStarted e) {
        router.useQuota(e.leases()::quotaFactor);
      }
      peers.apply(event, now, effects);
    }
  }

  /** The module hears of what changed; a list that clears a server also tells it. */
  private void stands(OperatorOverrides fresh) {
    ServerDirectory.Change change = roster.stands(fresh);
    if (!change.out().isEmpty()) {
      router.onServersChanged(Router.ListKind.CHANGES, change.out(), now, recorder);
      withdraw();
    }
    change.back().forEach(m -> router.onServerReadmitted(m, now, recorder));
    if (change.quiesces()) {
      effects.add(new Effect.Quiesce(change.quiesced()));
    }
  }

  /**
   * Guards against parts sent before a server's drain was told whose bytes, held up on the way,
   * would go after it.
   */
  private void withdraw() {
    held.parts().stream()
        .filter(p -> p.out != null && !roster.takesWork(p.out.server))
        .map(p -> p.out.server)
        .distinct()
        .forEach(s -> effects.add(new Effect.CancelUnsentTo(s)));
  }

  private void ordered(Event.OperatorCommandReceived e) {
    String server = e.override().server();
    effects.add(
        server == null || roster.knows(server)
            ? new Effect.PersistOverride(e.override(), e.caller())
            : new Effect.RejectCommand(e.caller(), "no server is known by this id"));
  }

  /** Contracts go before the module's own limits. */
  private void take(Request r) {
    if (contractAccounting.isActive()) {
      AdmissionDecision verdict = contractAccounting.admit(r, now);
      effects.add(new Effect.AdmissionDecided(r.id(), verdict));
      if (verdict instanceof AdmissionDecision.Rejected no) {
        effects.add(
            new Effect.Reply(
                r,
                new Effect.Answer.Rejected(
                    no.retryAfter(), Effect.Answer.Ending.NOTHING_SENT, no)));
        return;
      }
      hold(r, (UsageCharge) verdict);
    } else {
      hold(r, null);
    }
  }

  private void hold(Request r, UsageCharge charge) {
    Router.Terms terms = charge == null ? r.terms() : r.terms().underContract(charge.terms());
    double timeLeft =
        charge == null ? r.timeLeft() : Math.min(r.timeLeft(), charge.terms().deadline());
    OptionalDouble full = router.rejectionDelay(held.count());
    Open open = held.hold(r, charge, timeLeft, now);
    if (full.isPresent()) {
      end(
          r.id(),
          new Effect.Answer.Rejected(full.getAsDouble(), Effect.Answer.Ending.NOTHING_SENT));
      return;
    }
    double work = r.parts().stream().mapToDouble(Request.QueryPart::estimatedWork).sum();
    router.onQuery(
        new Router.Query(
            r.id(),
            r.id(),
            r.queryClass(),
            r.parts().size(),
            work,
            r.retry(),
            timeLeft,
            0,
            terms,
            r.lateness()),
        now,
        recorder);
    for (int i = 0; i < r.parts().size(); i++) {
      Request.QueryPart s = r.parts().get(i);
      router.onPart(
          new Router.Part(held.holdPart(open, i), r.id(), s.shard(), s.weight(), s.estimatedWork()),
          now,
          recorder);
    }
  }

  private void ended(AttemptId id, Router.Outcome outcome, Payload value) {
    Out out = held.out(id);
    if (out == null) {
      return;
    }
    Part p = held.part(id.part());
    p.out = null;
    if (!outcome.neverRan()) {
      p.mayHaveRun = true;
      p.mayRunFrom = Math.min(p.mayRunFrom, out.sentAt);
    }
    p.last = new Effect.Answer.MissingPart(outcome, out.server, value);
    if (outcome == Router.Outcome.OK) {
      held.in(p, value);
    }
    held.tidy(id.part());
    contractAccounting.attemptEnded(p.open.charge, outcome, now - out.sentAt, now, effects);
    router.onAttemptEnded(
        new Router.AttemptEnded(id.part(), id.number(), out.server, outcome, now - out.sentAt),
        now,
        recorder);
  }

  /**
   * The request is its client's fault: no server is asked again, and the module hears that it is
   * gone.
   */
  private void faulted(Event.RequestRejectedByServer e) {
    Out out = held.out(e.attempt());
    if (out == null) {
      return;
    }
    long id = held.part(e.attempt().part()).open.request.id();
    end(id, new Effect.Answer.InvalidRequest(e.reason()));
    ended(e.attempt(), Router.Outcome.ERROR, e.reason());
    router.onClientDisconnected(id, now, recorder);
  }

  /**
   * One alarm for all attempts of a request. Guards against very many parts, most long answered,
   * that each ring.
   */
  private void overdue(Event.AttemptTimedOut e) {
    Part next = null;
    for (long id = e.firstPart(); id < e.firstPart() + e.parts(); id++) {
      Part p = held.part(id);
      if (p != null) {
        p.open.overdueAt = Double.POSITIVE_INFINITY;
        if (p.out != null && (p.out.id.equals(e.attempt()) || p.out.dueAt <= now)) {
          giveUp(p.out, Router.Outcome.TIMEOUT);
        } else if (p.out != null && (next == null || p.out.dueAt < next.out.dueAt)) {
          next = p;
        }
      }
    }
    if (next != null) {
      lookAgain(next);
    }
  }

  /** Guards against a repeat that waits for a connection until its window is over. */
  private double sendBy(Part p) {
    Settings.QueryClass kind = settings.classes().get(p.open.request.queryClass());
    return kind.idempotency() == Settings.Idempotency.KEYED
        ? p.mayRunFrom + kind.idempotencyWindow()
        : Double.POSITIVE_INFINITY;
  }

  private void lookAgain(Part p) {
    if (p.out.dueAt < p.open.overdueAt) {
      p.open.overdueAt = p.out.dueAt;
      effects.add(
          new Effect.WakeAt(
              p.out.dueAt, new Event.AttemptTimedOut(p.out.id, p.open.firstPart, p.open.parts())));
    }
  }

  private void giveUp(Out out, Router.Outcome as) {
    if (out.given == null) {
      out.given = as;
      effects.add(
          new Effect.CancelAttempt(out.id, held.part(out.id.part()).open.request, out.server));
    }
  }

  /**
   * Guards against requests that are lost because deciding on them failed: the one that the event
   * was of ends at once; which others were to be decided on is not known, so each ends when its
   * time is over, if nothing ends it before.
   */
  private void failed(Event event) {
    Optional<Long> of =
        event instanceof Event.RequestReceived e
            ? Optional.of(e.request().id())
            : event instanceof Event.AttemptEvent e
                ? held.requestOf(e.attempt())
                : Optional.empty();
    of.ifPresent(this::drop);
    if (event instanceof Event.RequestReceived e
        && effects.stream()
            .noneMatch(f -> f instanceof Effect.Reply r && r.request() == e.request())) {
      effects.add(
          new Effect.Reply(
              e.request(), new Effect.Answer.Failed(Effect.Answer.Ending.NOTHING_SENT)));
    }
    for (Open open : held.requests()) {
      if (!open.lapses) {
        open.lapses = true;
        effects.add(
            new Effect.WakeAt(open.endsAt, new Event.RequestDeadlineExpired(open.request.id())));
      }
    }
  }

  private void drop(long id) {
    Open open = held.request(id);
    if (open == null) {
      return;
    }
    end(id, new Effect.Answer.Failed(held.ending(open, now)));
    held.outOf(open).forEach(out -> giveUp(out, Router.Outcome.CANCELLED));
    try {
      router.onClientDisconnected(id, now, recorder);
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "the module failed on the end of request " + id, e);
    }
  }

  /** The one final answer: whoever comes second finds the request gone. */
  private void end(long id, Effect.Answer answer) {
    Open open = forget(id);
    if (open != null) {
      effects.add(new Effect.Reply(open.request, answer));
      contractAccounting.requestEnded(
          open.charge, answer instanceof Effect.Answer.Answered, now, effects);
    }
  }

  private Open forget(long id) {
    Open open = held.forget(id);
    if (open != null && !settings.limits().cancellationAllowed()) {
      // Where what is out may be called off, the module does so.
      held.outOf(open).forEach(out -> effects.add(new Effect.CancelUnsent(out.id, open.request)));
    }
    return open;
  }

  /** The module's actions as effects. */
  private final class Recorder implements Router.Actions {
    @Override
    public void send(long part, String server, double timeout) {
      Part p = held.part(part);
      if (p == null) {
        return;
      }
      AttemptId id = new AttemptId(part, p.sent++);
      if (held.isOver(p)
          || p.out != null
          || id.number() >= settings.limits().maxAttempts()
          || !contractAccounting.maySend(p.open.charge, id.number())) {
        // Guards against one attempt too many, whatever asked for it: it ends unsent.
        inner.add(new Event.AttemptNotSent(id, server));
        return;
      }
      double wait = Math.min(timeout, p.open.endsAt - now);
      p.out = new Out(id, server, now, now + wait);
      effects.add(new Effect.StartAttempt(id, p.open.request, p.slice, server, wait, sendBy(p)));
      lookAgain(p);
    }

    @Override
    public void cancel(long part, int attempt) {
      Out out = held.out(new AttemptId(part, attempt));
      if (out != null) {
        giveUp(out, Router.Outcome.CANCELLED);
      }
    }

    @Override
    public void answer(long query, boolean complete) {
      Open open = held.request(query);
      if (open != null) {
        end(
            query,
            new Effect.Answer.Answered(
                complete, new TreeMap<>(open.values), held.ending(open, now).missing()));
      }
    }

    @Override
    public void reject(long query, double retryAfter) {
      Open open = held.request(query);
      if (open != null) {
        end(query, new Effect.Answer.Rejected(retryAfter, held.ending(open, now)));
      }
    }

    @Override
    public void fail(long query) {
      Open open = held.request(query);
      if (open != null) {
        end(query, new Effect.Answer.Failed(held.ending(open, now)));
      }
    }

    @Override
    public void scheduleAlarm(double time, String token) {
      effects.add(new Effect.WakeAt(time, new Event.AlarmFired(token)));
    }

    @Override
    public void watchEndpoints() {
      // Discovery is always watched here; the module need not ask.
    }

    @Override
    public void closeIdleConnections(String server) {
      effects.add(new Effect.CloseIdleConnections(server));
    }

    @Override
    public void log(String text) {
      effects.add(new Effect.Log(text));
    }
  }
}
