package bitternpulley.health;

import java.util.Collection;

/**
 * Detects that no server answers at all, as when the network or the whole fleet pauses. During such
 * a stall no single server counts as unresponsive: cancelling and resending every part would double
 * the backlog just as it begins to drain.
 */
public final class StallDetector {
  /** What the detector reads of a server. */
  public interface Awaited {
    /** When the oldest part in flight at the server was sent; infinity where none is. */
    double oldestSentAt();
  }

  /** Multiple of the baseline latency without any answer that makes a stall. */
  private static final double LATENCY_MULTIPLE = 3;

  /** Servers that must be waited for in a stall. */
  private static final int MINIMUM_SERVERS = 4;

  private double lastAnswerAt = Double.NEGATIVE_INFINITY;
  private double stallEndedAt = Double.NEGATIVE_INFINITY;

  /** Records an answer; {@code servers} are in their state before it. */
  public void recordAnswer(
      double now, double baselineLatency, Collection<? extends Awaited> servers) {
    if (isStalled(now, baselineLatency, servers)) {
      stallEndedAt = now;
    }
    lastAnswerAt = now;
  }

  /** Whether no answer arrives although most servers with parts in flight are overdue. */
  public boolean isStalled(
      double now, double baselineLatency, Collection<? extends Awaited> servers) {
    if (now - lastAnswerAt <= LATENCY_MULTIPLE * baselineLatency) {
      return false;
    }
    int busy = 0;
    int overdue = 0;
    for (Awaited server : servers) {
      double sentAt = server.oldestSentAt();
      busy += sentAt < Double.POSITIVE_INFINITY ? 1 : 0;
      overdue += now - sentAt > LATENCY_MULTIPLE * baselineLatency ? 1 : 0;
    }
    return overdue >= MINIMUM_SERVERS && 2 * overdue > busy;
  }

  /** The time from which a wait that began at {@code since} counts: not before a stall ended. */
  public double stallAdjustedTime(double since) {
    return Math.max(since, stallEndedAt);
  }
}
