package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A seeded world in virtual time: teams whose clients come at random, one admission control, and
 * servers that do so many parts a second in the order in which they come. Nothing but the control
 * refuses; a query that takes longer than wanted is worth nothing.
 */
final class ContractWorld {
  static final double WANTED = 500;
  static final int CLASSES = 3;

  static final class Team {
    final String id;
    double perSecond;
    final int parts;

    /** Times the usual work that each of its parts is. */
    double work = 1;

    boolean retriesAtOnce;
    boolean returnsAsTold;
    int asked;
    int inTime;
    int told;
    int returnedServed;
    double workServed;

    Team(String id, double perSecond, int parts) {
      this.id = id;
      this.perSecond = perSecond;
      this.parts = parts;
    }
  }

  private record Happening(double at, long order, Runnable what) {}

  final AdmissionControl control =
      new AdmissionControl(new double[] {WANTED, WANTED, WANTED}, 2000);
  final Map<String, Team> teams = new LinkedHashMap<>();
  final List<UsageCharge> charges = new ArrayList<>();
  private final PriorityQueue<Happening> ahead =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at()
                  ? Double.compare(a.at(), b.at())
                  : Long.compare(a.order(), b.order()));
  private final Random random;
  private long order;
  private long prints;
  private double freeAt;
  double now;

  /** Parts of the usual work that the servers do in a second. */
  double rate;

  ContractWorld(long seed, double rate) {
    this.random = new Random(seed);
    this.rate = rate;
  }

  static Contract contract(String id, double share) {
    Router.ClassTerms terms = new Router.ClassTerms(WANTED, 1500, 1, 1);
    return new Contract(
        id, share, 1, 500, true, true, 0.2, 100, 100_000, Map.of(0, terms, 1, terms, 2, terms));
  }

  static ContractBook book(int version, Contract... contracts) {
    Map<String, Contract> by = new LinkedHashMap<>();
    for (Contract c : contracts) {
      by.put(c.id(), c);
    }
    return new ContractBook(version, by, null);
  }

  Team team(String id, double perSecond, int parts) {
    Team t = new Team(id, perSecond, parts);
    teams.put(id, t);
    at(now, () -> arrive(t));
    return t;
  }

  void at(double time, Runnable what) {
    ahead.add(new Happening(Math.max(now, time), order++, what));
  }

  /** Plays until a time, and forgets what was counted before {@code from}. */
  ContractWorld to(double time) {
    while (!ahead.isEmpty() && ahead.peek().at() <= time) {
      Happening next = ahead.poll();
      now = next.at();
      next.what().run();
    }
    now = time;
    return this;
  }

  void forgetCounts() {
    teams
        .values()
        .forEach(
            t -> {
              t.asked = 0;
              t.inTime = 0;
              t.told = 0;
              t.returnedServed = 0;
              t.workServed = 0;
            });
  }

  private void arrive(Team t) {
    if (t.perSecond > 0) {
      t.asked++;
      ask(t, ++prints, now, 1, false);
    }
    double gap = t.perSecond > 0 ? -Math.log(1 - random.nextDouble()) * 1000 / t.perSecond : 20;
    at(now + gap, () -> arrive(t));
  }

  private void ask(Team t, long print, double meant, int tries, boolean asTold) {
    AdmissionDecision v =
        control.admit(new AdmissionRequest(t.id, 0, t.parts, 0, tries > 1, print), now);
    if (v instanceof UsageCharge c) {
      charges.add(c);
      run(t, c, meant, asTold);
      return;
    }
    double pause = ((AdmissionDecision.Rejected) v).retryAfter();
    if (t.returnsAsTold && pause > 0 && tries < 3) {
      t.told++;
      at(now + pause + 5, () -> ask(t, print, meant, tries + 1, true));
    } else if (t.retriesAtOnce && tries < 3) {
      at(now + 1, () -> ask(t, print, meant, tries + 1, false));
    }
  }

  private void run(Team t, UsageCharge c, double meant, boolean asTold) {
    int[] left = {t.parts};
    double began = now;
    for (int i = 0; i < t.parts; i++) {
      control.onAttemptSent(c);
      freeAt = Math.max(freeAt, now) + t.work * 1000 / rate;
      // A part takes 10 ms of a server however idle it is; the rest of its time is queueing.
      at(
          freeAt + 10 * t.work,
          () -> {
            control.onAttemptEnded(c, Router.Outcome.OK, now - began, now);
            if (--left[0] == 0) {
              control.onRequestEnded(c, true, now);
              t.inTime += now - meant <= WANTED || asTold && now - began <= WANTED ? 1 : 0;
              t.returnedServed += asTold ? 1 : 0;
              t.workServed += t.work * t.parts;
            }
          });
    }
  }
}
