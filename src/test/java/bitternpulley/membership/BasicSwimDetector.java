package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * A basic SWIM failure detector without suspicion and local health, for comparison. A member that
 * answers neither directly nor through relays is declared dead, and the other members accept this
 * report. A dead member becomes alive when a message from it arrives. Interval, time-outs and
 * relays are those of {@link Membership}.
 */
final class BasicSwimDetector implements SimulatedCluster.Instance {
  private static final int TICKS_PER_INTERVAL = 10;
  private static final int TIMEOUTS_PER_PROBE = 3;

  private record PendingProbe(int target, int sequence, double sentAt) {}

  private record RelayedProbe(int origin, int originSequence) {}

  private final int self;
  private final long epoch;
  private final MembershipSettings settings;
  private final Random random;
  private final MemberState[] states;
  private final int[] incarnations;
  private final DisseminationQueue updates = new DisseminationQueue();
  private final ArrayDeque<Integer> round = new ArrayDeque<>();
  private final Map<Integer, RelayedProbe> relayedProbes = new HashMap<>();
  private List<MembershipAction> actions = new ArrayList<>();
  private PendingProbe probe;
  private boolean hasRequestedRelays;
  private int lastSequence;
  private int ownIncarnation;
  private double nextProbeAt;

  BasicSwimDetector(
      int self, int members, long epoch, MembershipSettings settings, long seed, double now) {
    this.self = self;
    this.epoch = epoch;
    this.settings = settings;
    random = new Random(seed);
    states = new MemberState[members];
    Arrays.fill(states, MemberState.ALIVE);
    incarnations = new int[members];
    nextProbeAt = now + settings.interval() * random.nextDouble();
  }

  @Override
  public double tickInterval() {
    return settings.interval() / TICKS_PER_INTERVAL;
  }

  @Override
  public MemberState stateOf(int number) {
    return states[number];
  }

  @Override
  public List<MembershipAction> tick(double now) {
    actions = new ArrayList<>();
    if (probe != null && !hasRequestedRelays && now >= probe.sentAt() + settings.timeout()) {
      requestRelays();
    }
    if (probe != null && now >= probe.sentAt() + TIMEOUTS_PER_PROBE * settings.timeout()) {
      changeState(probe.target(), MemberState.DEAD, incarnations[probe.target()]);
      probe = null;
    }
    if (probe == null && now >= nextProbeAt) {
      nextProbeAt = now + settings.interval();
      probeNext(now);
    }
    return actions;
  }

  private void requestRelays() {
    hasRequestedRelays = true;
    List<Integer> relays = aliveMembers();
    Collections.shuffle(relays, random);
    relays.stream()
        .filter(relay -> relay != probe.target())
        .limit(settings.relays())
        .forEach(relay -> send(relay, Kind.RELAY, probe.sequence(), probe.target()));
  }

  /**
   * Pings the next member of the round; a ping to a dead member only serves to detect its return.
   */
  private void probeNext(double now) {
    if (round.isEmpty()) {
      List<Integer> members = otherMembers();
      Collections.shuffle(members, random);
      round.addAll(members);
    }
    int target = round.poll();
    boolean isAlive = states[target] == MemberState.ALIVE;
    probe = isAlive ? new PendingProbe(target, ++lastSequence, now) : null;
    hasRequestedRelays = false;
    send(target, Kind.PING, isAlive ? lastSequence : 0, target);
  }

  private List<Integer> otherMembers() {
    return new ArrayList<>(
        IntStream.range(0, states.length).filter(number -> number != self).boxed().toList());
  }

  private List<Integer> aliveMembers() {
    List<Integer> members = otherMembers();
    members.removeIf(number -> states[number] != MemberState.ALIVE);
    return members;
  }

  @Override
  public List<MembershipAction> onMessage(GossipMessage message, double now) {
    actions = new ArrayList<>();
    int from = message.from();
    if (states[from] != MemberState.ALIVE && message.incarnation() >= incarnations[from]) {
      changeState(from, MemberState.ALIVE, message.incarnation() + 1);
    }
    message.updates().forEach(this::apply);
    switch (message.kind()) {
      case PING -> send(from, Kind.ACK, message.sequence(), self);
      case RELAY -> relay(message);
      case ACK -> onAck(message);
      case NACK, SYNC -> {
        // Basic SWIM does not use these kinds.
      }
    }
    return actions;
  }

  private void relay(GossipMessage request) {
    lastSequence++;
    relayedProbes.put(lastSequence, new RelayedProbe(request.from(), request.sequence()));
    send(request.target(), Kind.PING, lastSequence, request.target());
  }

  private void onAck(GossipMessage ack) {
    RelayedProbe relayed = relayedProbes.remove(ack.sequence());
    if (relayed != null) {
      send(relayed.origin(), Kind.ACK, relayed.originSequence(), ack.from());
    } else if (probe != null && probe.sequence() == ack.sequence()) {
      probe = null;
    }
  }

  private void apply(GossipUpdate update) {
    int number = update.number();
    if (number == self) {
      refute(update);
    } else if (update.incarnation() > incarnations[number]
        || (update.incarnation() == incarnations[number] && update.state() == MemberState.DEAD)) {
      changeState(number, update.state(), update.incarnation());
    }
  }

  private void refute(GossipUpdate update) {
    if (update.state() == MemberState.DEAD && update.incarnation() >= ownIncarnation) {
      ownIncarnation = update.incarnation() + 1;
      updates.add(
          new GossipUpdate(
              self, epoch, ownIncarnation, MemberState.ALIVE, GossipUpdate.NO_ACCUSER, null));
    }
  }

  private void changeState(int number, MemberState newState, int incarnation) {
    incarnations[number] = incarnation;
    if (states[number] != newState) {
      actions.add(
          new MembershipAction.StateChanged(number, null, states[number], newState, "basic SWIM"));
      states[number] = newState;
      updates.add(new GossipUpdate(number, 1, incarnation, newState, self, null));
    }
  }

  private void send(int receiver, Kind kind, int sequence, int target) {
    List<GossipUpdate> piggybacked =
        updates.take(states.length, GossipMessage.UPDATE_BYTES, GossipMessage.MAX_UPDATES);
    actions.add(
        new MembershipAction.Send(
            receiver,
            new GossipMessage(
                kind, self, epoch, ownIncarnation, sequence, target, 0, piggybacked)));
  }
}
