package bitternpulley.policy;

import java.util.Collection;

/**
 * Tells when nothing comes from any server. Guards against a moment in which all stand still, or the way to them does: each
 * would be taken for silent, its parts called off and sent elsewhere, and the backlog doubled just as it begins to move.
 */
final class Stall {
  /** Usual latencies without an answer from any server that make a stall, and the servers that must be waited for. */
  private static final double LEAST = 3;
  private static final int LEAST_SERVERS = 4;

  private double heardAt = Double.NEGATIVE_INFINITY;
  private double endedAt = Double.NEGATIVE_INFINITY;

  /** An answer has come; {@code servers} are as they were before it. */
  void heard(double now, double usual, Collection<State.Server> servers) {
    if (lasts(now, usual, servers)) {
      endedAt = now;
    }
    heardAt = now;
  }

  /** Whether nothing comes, though most servers that have parts are waited for. */
  boolean lasts(double now, double usual, Collection<State.Server> servers) {
    if (now - heardAt <= LEAST * usual) {
      return false;
    }
    int busy = 0;
    int waitedFor = 0;
    for (State.Server s : servers) {
      busy += s.out.isEmpty() ? 0 : 1;
      waitedFor += s.out.isEmpty() || now - s.out.iterator().next().sent <= LEAST * usual ? 0 : 1;
    }
    return waitedFor >= LEAST_SERVERS && 2 * waitedFor > busy;
  }

  /** From when on a wait that began at this time speaks against a server: not before a stall was over. */
  double counted(double since) {
    return Math.max(since, endedAt);
  }
}
