package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Probes the members in rounds, each member once per round in random order. Concurrently runs
 * checks, which are probes outside the round, one at a time. A {@link ProbeListener} handles the
 * results.
 */
final class Prober {
  /**
   * One in this number of round probes is accompanied by a ping of a member that is dead or was
   * never in contact, in order to detect that a partition has healed.
   */
  private static final int PROBES_PER_RECONNECT_PING = 4;

  private final MembershipSettings settings;
  private final MembershipTable table;
  private final LocalHealth localHealth;
  private final Random random;
  private final Outbox outbox;
  private final ProbeListener listener;
  private final ActiveProbes active;
  private final CheckQueue checks;
  private final RelayedProbes relayedProbes;
  private final ArrayDeque<Member> round = new ArrayDeque<>();
  private int lastSequence;
  private int roundProbeCount;
  private double nextRoundProbeAt;

  /** Creates a prober that starts its first probe at a random time within the first interval. */
  Prober(
      MembershipSettings settings,
      MembershipTable table,
      LocalHealth localHealth,
      Random random,
      Outbox outbox,
      ProbeListener listener,
      ActiveProbes active,
      CheckQueue checks,
      double now) {
    this.settings = settings;
    this.table = table;
    this.localHealth = localHealth;
    this.random = random;
    this.outbox = outbox;
    this.listener = listener;
    this.active = active;
    this.checks = checks;
    relayedProbes = new RelayedProbes(table, outbox, settings.timeout(), this::nextSequence);
    nextRoundProbeAt = now + settings.interval() * random.nextDouble();
  }

  private int nextSequence() {
    return ++lastSequence;
  }

  /** Advances the probes in progress, including those that are relayed for other members. */
  void advance(double now) {
    relayedProbes.expire(now);
    Probe roundProbe = active.roundProbe();
    if (roundProbe != null && advance(roundProbe, now)) {
      onFailed(roundProbe, now);
    }
    Probe check = active.check();
    if (check != null && advance(check, now)) {
      checks.refund();
      onFailed(check, now);
    }
  }

  /** Starts the probes that are due. */
  void startDue(double now) {
    if (active.check() == null) {
      checks.take(now).ifPresent(target -> active.startCheck(startProbe(target, now)));
    }
    if (active.roundProbe() == null && now >= nextRoundProbeAt) {
      nextRoundProbeAt = now + settings.interval() * localHealth.intervalFactor();
      startRoundProbe(now);
    }
  }

  /** Drops all probes after a pause, since their answers may have been missed. */
  void reset() {
    active.clear();
    relayedProbes.clear();
  }

  /** Pings at most {@code limit} active members, without tracking the answers. */
  void pingSome(int limit) {
    table.sample(limit, random, Member::isActive).forEach(this::ping);
  }

  private void ping(Member member) {
    outbox.send(member.number(), Kind.PING, nextSequence(), member.number());
  }

  private void startRoundProbe(double now) {
    roundProbeCount++;
    if (roundProbeCount % PROBES_PER_RECONNECT_PING == 0) {
      table.sample(1, random, Prober::isWithoutContact).forEach(this::ping);
    }
    nextRoundTarget().ifPresent(target -> active.startRoundProbe(startProbe(target, now)));
  }

  private static boolean isWithoutContact(Member member) {
    return member.state() == MemberState.DEAD || (member.isActive() && !member.isKnown());
  }

  /** The next member of the round to probe; empty if there is none. */
  private Optional<Member> nextRoundTarget() {
    while (true) {
      if (round.isEmpty() && !startRound()) {
        return Optional.empty();
      }
      Member next = round.poll();
      if (next.isActive() && !active.isChecking(next)) {
        return Optional.of(next);
      }
    }
  }

  /** Starts a new round of the active members; returns false if there are none. */
  private boolean startRound() {
    List<Member> members = new ArrayList<>(table.all());
    members.removeIf(member -> !member.isActive() || active.isChecking(member));
    if (members.isEmpty()) {
      return false;
    }
    Collections.shuffle(members, random);
    round.addAll(members);
    return true;
  }

  private Probe startProbe(Member target, double now) {
    Probe probe =
        new Probe(target, nextSequence(), now, settings.timeout() * localHealth.timeoutFactor());
    outbox.send(target.number(), Kind.PING, probe.sequence(), target.number());
    return probe;
  }

  /** Asks relays to ping the target if that is due; returns whether the probe has failed. */
  private boolean advance(Probe probe, double now) {
    if (probe.beginIndirect(now)) {
      Member target = probe.target();
      outbox.send(target.number(), Kind.PING, probe.sequence(), target.number());
      table
          .sample(
              settings.relays(),
              random,
              member -> member != target && member.isAlive() && member.isKnown())
          .forEach(relay -> requestRelay(probe, relay));
    }
    return probe.hasFailed(now);
  }

  private void requestRelay(Probe probe, Member relay) {
    probe.addRelay(relay.number());
    outbox.send(relay.number(), Kind.RELAY, probe.sequence(), probe.target().number());
  }

  private void onFailed(Probe probe, double now) {
    active.finish(probe);
    Member target = probe.target();
    // A suspect is expected not to answer, so its silence does not indicate poor local health.
    if (target.isAlive() && !probe.isConfirmedByRelays()) {
      localHealth.recordMissedAck();
    }
    target.recordProbeFailure(now);
    listener.onProbeFailed(target, probe.sentAt(), now);
  }

  /** Handles an ack to a probe of this instance or to a probe that it relays. */
  void onAck(GossipMessage ack, double now) {
    if (relayedProbes.forwardAck(ack)) {
      return;
    }
    Probe probe = active.find(ack.sequence());
    if (probe == null || ack.target() != probe.target().number()) {
      return;
    }
    Member target = probe.target();
    target.recordAck(ack.from(), now);
    // A check lasts until it is answered or has failed, so its ack does not indicate local health.
    if (probe == active.roundProbe()) {
      localHealth.recordAck();
    }
    active.finish(probe);
    listener.onProbeAnswered(target, ack.from(), now);
  }

  /** Handles a relay's nack. */
  void onNack(GossipMessage nack) {
    Probe probe = active.find(nack.sequence());
    if (probe != null) {
      probe.recordNack(nack.from());
    }
  }

  /** Handles a request to relay a probe. */
  void onRelayRequest(GossipMessage request, double now) {
    relayedProbes.relay(request, now);
  }
}
