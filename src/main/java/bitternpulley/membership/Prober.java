package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Probes the members in rounds, each member once a round in random order, and concurrently one
 * member at a time out of turn. A {@link ProbeListener} decides what a result means.
 */
final class Prober {
  /**
   * One in this number of round probes is accompanied by a ping of a member that is dead or without
   * any contact yet, by which a healed partition is detected.
   */
  private static final int PROBES_PER_RECONNECT = 4;

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
  private int roundProbes;
  private double nextRoundProbeAt;

  /** A prober whose first probe starts at a random time within the first interval. */
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

  /** Advances the probes in progress, of this instance and of those it relays for. */
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
      checks.take(now).ifPresent(target -> active.startCheck(start(target, now)));
    }
    if (active.roundProbe() == null && now >= nextRoundProbeAt) {
      nextRoundProbeAt = now + settings.interval() * localHealth.intervalFactor();
      startRoundProbe(now);
    }
  }

  /** After a pause: drops all probes, since their answers may have come and gone. */
  void reset() {
    active.clear();
    relayedProbes.clear();
  }

  /** Pings some active members without awaiting an answer. */
  void pingSome(int limit) {
    table.sample(limit, random, Member::isActive).forEach(this::ping);
  }

  private void ping(Member member) {
    outbox.send(member.number(), Kind.PING, nextSequence(), member.number());
  }

  private void startRoundProbe(double now) {
    roundProbes++;
    if (roundProbes % PROBES_PER_RECONNECT == 0) {
      table.sample(1, random, Prober::isWithoutContact).forEach(this::ping);
    }
    nextOfRound().ifPresent(target -> active.startRoundProbe(start(target, now)));
  }

  private static boolean isWithoutContact(Member member) {
    return member.state() == MemberState.DEAD || (member.isActive() && !member.isKnown());
  }

  /** The next member of the round; empty where there is none to probe. */
  private Optional<Member> nextOfRound() {
    while (true) {
      if (round.isEmpty() && !beginRound()) {
        return Optional.empty();
      }
      Member next = round.poll();
      if (next.isActive() && !active.isChecking(next)) {
        return Optional.of(next);
      }
    }
  }

  /** Begins a round of the active members; false where there are none. */
  private boolean beginRound() {
    List<Member> members = new ArrayList<>(table.all());
    members.removeIf(member -> !member.isActive() || active.isChecking(member));
    if (members.isEmpty()) {
      return false;
    }
    Collections.shuffle(members, random);
    round.addAll(members);
    return true;
  }

  private Probe start(Member target, double now) {
    Probe probe =
        new Probe(target, nextSequence(), now, settings.timeout() * localHealth.timeoutFactor());
    outbox.send(target.number(), Kind.PING, probe.sequence(), target.number());
    return probe;
  }

  /** Asks relays for a probe where that is due; returns whether the probe has failed. */
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
    // A suspect is expected not to answer, so its silence says nothing of this instance.
    if (target.isAlive() && !probe.isConfirmedByRelays()) {
      localHealth.recordMissedAck();
    }
    target.recordProbeFailure(now);
    listener.onProbeFailed(target, probe.sentAt(), now);
  }

  /** Handles an ack, of a probe of this instance or of one that it relays. */
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
    // A check lasts until it is answered or has failed, so its ack says nothing of this instance.
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
