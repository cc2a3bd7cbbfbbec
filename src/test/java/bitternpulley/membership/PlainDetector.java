package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * SWIM without suspicion and without self-doubt, to compare with: whoever answers neither directly
 * nor through helpers is dead, and all believe it; whoever is heard again is alive again. The same
 * pace, time-outs and helpers as the real one.
 */
final class PlainDetector implements World.Instance {
  private record Asked(int target, int sequence, double at) {}

  private record Helping(int origin, int sequence) {}

  private final int self;
  private final long epoch;
  private final MembershipSettings terms;
  private final Random random;
  private final MemberState[] standings;
  private final DisseminationQueue spread = new DisseminationQueue();
  private final ArrayDeque<Integer> round = new ArrayDeque<>();
  private final Map<Integer, Helping> helping = new HashMap<>();
  private List<MembershipAction> out = new ArrayList<>();
  private Asked asked;
  private boolean helped;
  private int sequence;
  private int incarnation;
  private final int[] incarnations;
  private double nextProbe;

  PlainDetector(int self, int count, long epoch, MembershipSettings terms, long seed, double now) {
    this.self = self;
    this.epoch = epoch;
    this.terms = terms;
    random = new Random(seed);
    standings = new MemberState[count];
    java.util.Arrays.fill(standings, MemberState.ALIVE);
    incarnations = new int[count];
    nextProbe = now + terms.interval() * random.nextDouble();
  }

  @Override
  public double tickEvery() {
    return terms.interval() / 10;
  }

  @Override
  public MemberState standing(int number) {
    return standings[number];
  }

  @Override
  public List<MembershipAction> tick(double now) {
    out = new ArrayList<>();
    if (asked != null && !helped && now >= asked.at() + terms.timeout()) {
      helped = true;
      List<Integer> helpers = alive();
      Collections.shuffle(helpers, random);
      helpers.stream()
          .filter(h -> h != asked.target())
          .limit(terms.relays())
          .forEach(h -> send(h, Kind.RELAY, asked.sequence(), asked.target()));
    }
    if (asked != null && now >= asked.at() + 3 * terms.timeout()) {
      stands(asked.target(), MemberState.DEAD, incarnations[asked.target()]);
      asked = null;
    }
    if (asked == null && now >= nextProbe) {
      nextProbe = now + terms.interval();
      if (round.isEmpty()) {
        // The dead as well: that they are back is found out so.
        List<Integer> all =
            new ArrayList<>(
                IntStream.range(0, standings.length).filter(i -> i != self).boxed().toList());
        Collections.shuffle(all, random);
        round.addAll(all);
      }
      int target = round.poll();
      asked = standings[target] == MemberState.ALIVE ? new Asked(target, ++sequence, now) : null;
      helped = false;
      send(target, Kind.PING, asked == null ? 0 : sequence, target);
    }
    return out;
  }

  @Override
  public List<MembershipAction> heard(GossipMessage m, double now) {
    out = new ArrayList<>();
    if (standings[m.from()] != MemberState.ALIVE && m.incarnation() >= incarnations[m.from()]) {
      stands(m.from(), MemberState.ALIVE, m.incarnation() + 1);
    }
    m.updates().forEach(this::rumor);
    switch (m.kind()) {
      case PING -> send(m.from(), Kind.ACK, m.sequence(), self);
      case RELAY -> {
        helping.put(++sequence, new Helping(m.from(), m.sequence()));
        send(m.target(), Kind.PING, sequence, m.target());
      }
      case ACK -> {
        Helping h = helping.remove(m.sequence());
        if (h != null) {
          send(h.origin(), Kind.ACK, h.sequence(), m.from());
        } else if (asked != null && asked.sequence() == m.sequence()) {
          asked = null;
        }
      }
      default -> {}
    }
    return out;
  }

  private void rumor(GossipUpdate r) {
    if (r.number() == self) {
      if (r.state() == MemberState.DEAD && r.incarnation() >= incarnation) {
        incarnation = r.incarnation() + 1;
        spread.add(new GossipUpdate(self, epoch, incarnation, MemberState.ALIVE, -1, null));
      }
    } else if (r.incarnation() > incarnations[r.number()]
        || r.incarnation() == incarnations[r.number()] && r.state() == MemberState.DEAD) {
      stands(r.number(), r.state(), r.incarnation());
    }
  }

  private List<Integer> alive() {
    return new ArrayList<>(
        IntStream.range(0, standings.length)
            .filter(i -> i != self && standings[i] == MemberState.ALIVE)
            .boxed()
            .toList());
  }

  private void stands(int number, MemberState next, int at) {
    incarnations[number] = at;
    if (standings[number] != next) {
      out.add(new MembershipAction.StateChanged(number, null, standings[number], next, "plain"));
      standings[number] = next;
      spread.add(new GossipUpdate(number, 1, at, next, self, null));
    }
  }

  private void send(int to, Kind kind, int number, int target) {
    out.add(
        new MembershipAction.Send(
            to,
            new GossipMessage(
                kind,
                self,
                epoch,
                incarnation,
                number,
                target,
                0,
                spread.take(
                    standings.length, GossipMessage.UPDATE_BYTES, GossipMessage.MAX_UPDATES))));
  }
}
