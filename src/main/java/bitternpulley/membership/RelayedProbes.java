package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.IntSupplier;

/** The probes that this instance makes as a relay on behalf of other members (SWIM's ping-req). */
final class RelayedProbes {
  private static final int MAX_PENDING = 64;

  /**
   * A probe on behalf of {@code origin}.
   *
   * @param originSequence sequence number of the origin's probe
   * @param expiresAt when a nack is sent to the origin
   */
  private record RelayedProbe(int origin, int originSequence, int target, double expiresAt) {}

  private final MembershipTable table;
  private final Outbox outbox;
  private final double timeout;
  private final IntSupplier nextSequence;
  private final Map<Integer, RelayedProbe> pending = new HashMap<>();

  /**
   * Creates a relay without pending probes.
   *
   * @param timeout ms that a target has to answer
   * @param nextSequence supplies sequence numbers that no other probe of this instance uses
   */
  RelayedProbes(MembershipTable table, Outbox outbox, double timeout, IntSupplier nextSequence) {
    this.table = table;
    this.outbox = outbox;
    this.timeout = timeout;
    this.nextSequence = nextSequence;
  }

  /** Probes the target of a request, or sends a nack immediately if that is not possible. */
  void relay(GossipMessage request, double now) {
    Member target = table.find(request.target());
    if (target == null || pending.size() >= MAX_PENDING) {
      outbox.send(request.from(), Kind.NACK, request.sequence(), request.target());
      return;
    }
    int sequence = nextSequence.getAsInt();
    pending.put(
        sequence,
        new RelayedProbe(request.from(), request.sequence(), request.target(), now + timeout));
    outbox.send(target.number(), Kind.PING, sequence, target.number());
  }

  /** Forwards an ack to the origin of its probe; returns false if it answers no relayed probe. */
  boolean forwardAck(GossipMessage ack) {
    RelayedProbe probe = pending.remove(ack.sequence());
    if (probe == null || probe.target() != ack.from()) {
      return false;
    }
    outbox.send(probe.origin(), Kind.ACK, probe.originSequence(), probe.target());
    return true;
  }

  /** Sends a nack for each probe whose target did not answer in time. */
  void expire(double now) {
    Iterator<RelayedProbe> probes = pending.values().iterator();
    while (probes.hasNext()) {
      RelayedProbe probe = probes.next();
      if (now >= probe.expiresAt()) {
        outbox.send(probe.origin(), Kind.NACK, probe.originSequence(), probe.target());
        probes.remove();
      }
    }
  }

  /** Drops all pending probes without sending nacks. */
  void clear() {
    pending.clear();
  }
}
