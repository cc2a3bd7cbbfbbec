package bitternpulley.policy;

import bitternpulley.health.CoreEstimate;
import bitternpulley.health.ServerConcurrencyLimit;
import bitternpulley.health.SlowStartBudget;
import bitternpulley.health.StallDetector;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What an instance remembers of servers, queries, parts and attempts. Plain state: {@link
 * RoutingPolicy} decides.
 */
final class State {
  private State() {}

  /** A server as this instance knows it. */
  static final class Server implements StallDetector.Awaited {
    String id;
    int zone;
    double tie;
    Router.ServerState state = Router.ServerState.LIVE;
    double startedAt;
    double latency;
    double failures;
    int streak;
    boolean down;

    /** Slow alone: its queue is kept short until it is nearly as quick as the others. */
    boolean slow;

    boolean owed;
    double fullUntil = Double.NEGATIVE_INFINITY;
    double brokenAt = Double.NEGATIVE_INFINITY;
    double lastHeard = Double.NEGATIVE_INFINITY;
    double trialAt;
    double trialGap;
    private double callAt = Double.NEGATIVE_INFINITY;
    private int callParts;
    SlowStartBudget cold;
    final ServerConcurrencyLimit room = new ServerConcurrencyLimit();
    final Set<Attempt> out = new LinkedHashSet<>();

    @Override
    public double oldestSentAt() {
      return out.isEmpty() ? Double.POSITIVE_INFINITY : out.iterator().next().sent;
    }

    /** Whether a call to it is forming, in this very turn, that takes another part in. */
    boolean forms(double now, int most) {
      return callAt == now && callParts % most != 0;
    }

    /** A part goes to it, in the call that is forming or in a new one. */
    void joined(double now) {
      callParts = callAt == now ? callParts + 1 : 1;
      callAt = now;
    }

    /** Drops what was learned of an earlier process. */
    void forget() {
      latency = 0;
      failures = 0;
      streak = 0;
      down = false;
      slow = false;
      fullUntil = Double.NEGATIVE_INFINITY;
      room.reset();
    }
  }

  /** The servers known, by name and by the shards they hold. */
  static final class Fleet {
    private final Settings settings;
    private final Settings.Layout layout;
    private final Map<String, Server> byName = new LinkedHashMap<>();
    private final List<List<Server>> cells = new ArrayList<>();
    Router.QuotaShare portion = Router.QuotaShare.EVEN;
    final CoreEstimate cores = new CoreEstimate();

    Fleet(Settings settings) {
      this.settings = settings;
      this.layout = settings.layout();
      for (int i = 0; i < layout.cells(); i++) {
        cells.add(new ArrayList<>());
      }
    }

    Collection<Server> servers() {
      return byName.values();
    }

    /** The server of a list entry, new where it was not known. */
    Server get(Router.Endpoint m) {
      return byName.computeIfAbsent(
          m.server(),
          id -> {
            Server s = new Server();
            s.id = id;
            s.zone = m.zone();
            s.cold = new SlowStartBudget(settings, now -> portion.at(now), cores);
            cells.get(Math.floorMod(m.cell(), cells.size())).add(s);
            return s;
          });
    }

    /** Guards against a list that only grows: servers that are gone and owe nothing are dropped. */
    void prune() {
      for (List<Server> cell : cells) {
        cell.removeIf(
            s ->
                s.state == Router.ServerState.GONE
                    && s.out.isEmpty()
                    && byName.remove(s.id) != null);
      }
    }

    /** The servers that hold a shard, in the order of their cells. */
    List<Server> holders(int shard) {
      List<Server> found = new ArrayList<>();
      for (int j = 0; j < layout.replicas(); j++) {
        found.addAll(cells.get(Math.floorMod(shard + j, layout.cells())));
      }
      return found;
    }
  }

  /** One attempt of a part. */
  static final class Attempt {
    final PartState part;
    final Server server;
    final int number;
    final double sent;
    final double expected;
    boolean open = true;
    boolean cancelled;
    boolean neverRan;
    boolean fresh;
    boolean late;
    boolean alone;
    int overtaken;

    Attempt(PartState part, Server server, int number, double sent, double expected) {
      this.part = part;
      this.server = server;
      this.number = number;
      this.sent = sent;
      this.expected = expected;
    }
  }

  /** One part of a query's step. */
  static final class PartState {
    final Router.Part part;
    final QueryState query;
    final ArrivalRecord.Step step;
    final List<Attempt> attempts = new ArrayList<>();
    double due = Double.POSITIVE_INFINITY;
    boolean in;
    int openCount;

    /** From when on a holder could take it, where none could when it was last looked for. */
    double opensAt;

    PartState(Router.Part part, QueryState query) {
      this.part = part;
      this.query = query;
      this.step = query.arrivals;
    }

    Attempt firstOpen() {
      return attempts.stream().filter(a -> a.open).findFirst().orElseThrow();
    }

    /** The latest attempt that is out; one of them must be. */
    Attempt lastOpen() {
      int i = attempts.size() - 1;
      while (!attempts.get(i).open) {
        i--;
      }
      return attempts.get(i);
    }

    boolean tried(Server s) {
      return !attempts.isEmpty() && attempts.stream().anyMatch(a -> a.server == s);
    }

    boolean openAt(Server s) {
      return openCount > 0 && attempts.stream().anyMatch(a -> a.open && a.server == s);
    }

    /**
     * Till when it is to wait where it was turned away: so many gaps as the square of its attempts
     * so far.
     */
    double barredUntil(Server s, double gap) {
      double wait = attempts.size() * attempts.size() * gap;
      return attempts.stream()
          .filter(a -> a.server == s && a.neverRan && !a.open)
          .mapToDouble(a -> a.sent + wait)
          .max()
          .orElse(Double.NEGATIVE_INFINITY);
    }

    boolean mayHaveRun() {
      return attempts.stream().anyMatch(a -> a.open || !a.neverRan);
    }
  }

  /** A query from its arrival to its final answer. */
  static final class QueryState {
    final Router.Query query;
    final Settings.QueryClass kind;
    final double aimAt;
    final double endBy;
    final List<PartState> parts = new ArrayList<>();

    /** The parts of the step that are not in, and the weight of those that are. */
    final Set<PartState> missing = new LinkedHashSet<>();

    double in;
    int step = 1;
    double stepStart;

    /** From when on all that is missing is to be looked at. */
    double lookAt = Double.NEGATIVE_INFINITY;

    boolean broken;
    boolean culprit;
    double stepAim;
    double waitUntil;
    double extendTo = -1;
    boolean awaitsParts = true;
    boolean whole = true;
    boolean over;
    double alarm = Double.POSITIVE_INFINITY;
    double checkAt = Double.NEGATIVE_INFINITY;
    ArrivalRecord.Step arrivals;

    /** A part's value has come, whether it still serves or not. */
    void arrived(PartState p) {
      p.in = true;
      in += missing.remove(p) ? p.part.weight() : 0;
    }

    /** All that is missing is to be looked at now, not only when its time has come. */
    QueryState inNeed() {
      lookAt = Double.NEGATIVE_INFINITY;
      return this;
    }

    void clear() {
      parts.clear();
      missing.clear();
      in = 0;
      lookAt = Double.NEGATIVE_INFINITY;
    }

    /** The weight of the parts that are in or out: what is in hand or on its way. */
    double due() {
      double due = in;
      for (PartState p : missing) {
        due += p.openCount > 0 ? p.part.weight() : 0;
      }
      return due;
    }

    QueryState(
        Router.Query query, Settings.QueryClass kind, double now, double aimAt, double endBy) {
      this.query = query;
      this.kind = kind;
      this.stepStart = now;
      this.aimAt = aimAt;
      this.endBy = endBy;
      this.arrivals = new ArrivalRecord.Step();
    }
  }
}
