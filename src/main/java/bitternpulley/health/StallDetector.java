package bitternpulley.health;

import java.util.Collection;

/**
 * Tells when nothing comes from any server. Guards against a moment in which all stand still, or
 * the way to them does: each would be taken for silent, its parts called off and sent elsewhere,
 * and the backlog doubled just as it begins to move.
 */
public final class StallDetector {
  /** A server as far as parts out there tell of a stall. */
  public interface Awaited {
    /** When the oldest part out there was sent; infinity where none is. */
    double waitsSince();
  }

  /**
   * Usual latencies without an answer from any server that make a stall, and the servers that must
   * be waited for.
   */
  private static final double LEAST = 3;

  private static final int LEAST_SERVERS = 4;

  private double heardAt = Double.NEGATIVE_INFINITY;
  private double endedAt = Double.NEGATIVE_INFINITY;

  /** An answer has come; {@code servers} are as they were before it. */
  public void heard(double now, double usual, Collection<? extends Awaited> servers) {
    if (lasts(now, usual, servers)) {
      endedAt = now;
    }
    heardAt = now;
  }

  /** Whether nothing comes, though most servers that have parts are waited for. */
  public boolean lasts(double now, double usual, Collection<? extends Awaited> servers) {
    if (now - heardAt <= LEAST * usual) {
      return false;
    }
    int busy = 0;
    int waitedFor = 0;
    for (Awaited s : servers) {
      double since = s.waitsSince();
      busy += since < Double.POSITIVE_INFINITY ? 1 : 0;
      waitedFor += now - since > LEAST * usual ? 1 : 0;
    }
    return waitedFor >= LEAST_SERVERS && 2 * waitedFor > busy;
  }

  /**
   * From when on a wait that began at this time speaks against a server: not before a stall was
   * over.
   */
  public double counted(double since) {
    return Math.max(since, endedAt);
  }
}
