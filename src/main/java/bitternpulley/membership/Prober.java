package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Asks the members in turn, each once a round in an order of chance; beside them, one at a time,
 * those to be checked; and asks on behalf of others. What an answer or none means is {@link
 * Membership}'s to say.
 */
final class Prober {
  /**
   * Each so many-th probe goes to one that is dead or was never heard of: a cut that heals is found
   * out so.
   */
  private static final int LOST_EVERY = 4;

  /**
   * Probes out of turn that are answered, on the average of an interval and at once. Guards against
   * a fleet of hundreds at a lossy network, in which somebody is suspect at any time and each
   * member asks each suspect for itself: that goes with the square of the members. Those that fail
   * do not count: they are bounded by the time that they take, and the dead are asked no later.
   */
  private static final double CHECKS_PER_INTERVAL = 1;

  private static final double CHECKS_AT_ONCE = 8;

  /** Probes made for others at a time. */
  private static final int MOST_HELPING = 64;

  /** Who sends, and hears what became of a probe. */
  interface Heard {
    void send(int to, Kind kind, int number, int target);

    /** It was asked from then on, directly and by others, and did not answer. */
    void failed(Member target, double asked);

    /** It answered, itself or through {@code by}. */
    void answered(Member target, int by);
  }

  private record Helping(int origin, int sequence, int target, double until) {}

  private final int self;
  private final MembershipSettings terms;
  private final MembershipTable table;
  private final LocalHealth doubt;
  private final Random random;
  private final Heard heard;
  private final ArrayDeque<Member> round = new ArrayDeque<>();
  private final ArrayDeque<Member> checks = new ArrayDeque<>();
  private final Map<Integer, Helping> helping = new HashMap<>();

  /**
   * The one of the round that is under way, and beside it the one that was to be made out of turn.
   */
  private Probe probe;

  private Probe checking;
  private int sequence;
  private int probes;
  private double nextProbe;
  private double checksLeft = CHECKS_AT_ONCE;
  private double checksCountedAt;

  Prober(
      int self,
      MembershipSettings terms,
      MembershipTable table,
      LocalHealth doubt,
      Random random,
      Heard heard,
      double now) {
    this.self = self;
    this.terms = terms;
    this.table = table;
    this.doubt = doubt;
    this.random = random;
    this.heard = heard;
    nextProbe = now + terms.interval() * random.nextDouble();
    checksCountedAt = now;
  }

  void tick(double now, boolean leaving) {
    helping
        .entrySet()
        .removeIf(
            e -> {
              boolean over = now >= e.getValue().until();
              if (over) {
                heard.send(
                    e.getValue().origin(),
                    Kind.NACK,
                    e.getValue().sequence(),
                    e.getValue().target());
              }
              return over;
            });
    if (probe != null && goOn(probe, now)) {
      Probe failed = probe;
      probe = null;
      failed(failed, now);
    }
    if (checking != null && goOn(checking, now)) {
      Probe failed = checking;
      checking = null;
      checksLeft++;
      failed(failed, now);
    }
    if (checking == null && !leaving) {
      checking = nextCheck(now);
    }
    if (probe == null && now >= nextProbe && !leaving) {
      nextProbe = now + terms.interval() * doubt.pace();
      ask(now);
    }
  }

  /**
   * The next probe out of turn, or null where none is wanted or the budget is spent; those that
   * wait keep their places.
   */
  private Probe nextCheck(double now) {
    checksLeft =
        Math.min(
            CHECKS_AT_ONCE,
            checksLeft + CHECKS_PER_INTERVAL * (now - checksCountedAt) / terms.interval());
    checksCountedAt = now;
    if (checksLeft < 1) {
      return null;
    }
    Member next = checks.poll();
    if (next == null || !next.here()) {
      return null;
    }
    checksLeft--;
    return begin(next, now);
  }

  /**
   * This instance did not run: what it asked is not awaited, and what others asked of it is theirs
   * no more.
   */
  void woke() {
    probe = null;
    checking = null;
    helping.clear();
  }

  /** Speaks to some members, whose answers are not awaited. */
  void greet(int most) {
    table.some(most, random, Member::here).forEach(this::greet);
  }

  private void greet(Member m) {
    heard.send(m.number, Kind.PING, ++sequence, m.number);
  }

  /** It is to be asked out of turn, as soon as whoever else is has been. */
  void check(Member m) {
    if (!checks.contains(m) && !asks(probe, m) && !asks(checking, m)) {
      checks.add(m);
    }
  }

  private static boolean asks(Probe probe, Member m) {
    return probe != null && probe.target == m;
  }

  private void ask(double now) {
    if (++probes % LOST_EVERY == 0) {
      table
          .some(1, random, m -> m.standing == MemberState.DEAD || m.here() && m.epoch == 0)
          .forEach(this::greet);
    }
    Member target = null;
    while (target == null || !target.here() || asks(checking, target)) {
      if (round.isEmpty()) {
        List<Member> all = new ArrayList<>(table.all().stream().filter(Member::here).toList());
        all.removeIf(m -> asks(checking, m));
        if (all.isEmpty()) {
          return;
        }
        Collections.shuffle(all, random);
        round.addAll(all);
      }
      target = round.poll();
    }
    probe = begin(target, now);
  }

  private Probe begin(Member target, double now) {
    Probe begun = new Probe(target, ++sequence, now, terms.timeout() * doubt.stretch());
    heard.send(target.number, Kind.PING, begun.sequence, target.number);
    return begun;
  }

  /** Goes on with a probe; whether it has failed. */
  private boolean goOn(Probe probe, double now) {
    Member target = probe.target;
    if (probe.wantsHelp(now)) {
      heard.send(target.number, Kind.PING, probe.sequence, target.number);
      for (Member helper :
          table.some(
              terms.relays(),
              random,
              m -> m != target && m.standing == MemberState.ALIVE && m.epoch != 0)) {
        probe.askedHelper(helper.number);
        heard.send(helper.number, Kind.RELAY, probe.sequence, target.number);
      }
    }
    return probe.failed(now);
  }

  private void failed(Probe failed, double now) {
    Member target = failed.target;
    if (!failed.othersAgree() && target.standing == MemberState.ALIVE) {
      doubt.unanswered(); // that a suspect does not answer is no news
    }
    target.failedAt = now;
    heard.failed(target, failed.sentAt());
  }

  void answered(GossipMessage ack, double now) {
    Helping asked = helping.remove(ack.sequence());
    if (asked != null && asked.target() == ack.from()) {
      heard.send(asked.origin(), Kind.ACK, asked.sequence(), asked.target());
      return;
    }
    Probe of = of(ack);
    if (of == null || ack.target() != of.target.number) {
      return;
    }
    Member target = of.target;
    target.byOthers = ack.from() != target.number;
    target.heardAt = now;
    if (of == probe) {
      doubt.answered(); // one made out of turn is as long as it takes to be answered, and says
      // nothing of this instance
    }
    probe = of == probe ? null : probe;
    checking = of == checking ? null : checking;
    heard.answered(target, ack.from());
  }

  /** The probe that a message answers; null where it is over. */
  private Probe of(GossipMessage said) {
    return probe != null && probe.sequence == said.sequence()
        ? probe
        : checking != null && checking.sequence == said.sequence() ? checking : null;
  }

  void declined(GossipMessage nack) {
    Probe of = of(nack);
    if (of != null) {
      of.helperDeclined(nack.from());
    }
  }

  /** Asks one for another; says at once where it cannot. */
  void help(GossipMessage asked, double now) {
    Member target = table.known(asked.target());
    if (target == null || asked.target() == self || helping.size() >= MOST_HELPING) {
      heard.send(asked.from(), Kind.NACK, asked.sequence(), asked.target());
      return;
    }
    helping.put(
        ++sequence,
        new Helping(asked.from(), asked.sequence(), asked.target(), now + terms.timeout()));
    heard.send(target.number, Kind.PING, sequence, target.number);
  }
}
