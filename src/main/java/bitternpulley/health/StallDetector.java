package bitternpulley.health;

import java.util.Collection;

/**
 * Detects that no server answers, for example because the network or the whole fleet pauses. During
 * a stall no individual server counts as unresponsive: cancelling and resending every part would
 * double the backlog just when it begins to drain.
 */
public final class StallDetector {
  /** The state of a server that the detector needs. */
  public interface MonitoredServer {
    /**
     * The time at which the oldest part in flight at the server was sent, or infinity if there is
     * none.
     */
    double oldestSentAt();
  }

  /**
   * Multiple of the baseline latency after which a part is overdue, and after which the lack of any
   * answer can be a stall.
   */
  private static final double OVERDUE_LATENCY_MULTIPLE = 3;

  /** Minimum number of servers with an overdue part during a stall. */
  private static final int MIN_OVERDUE_SERVERS = 4;

  private double lastAnswerAt = Double.NEGATIVE_INFINITY;
  private double stallEndedAt = Double.NEGATIVE_INFINITY;

  /** Records an answer; {@code servers} are in their state before the answer. */
  public void recordAnswer(
      double now, double baselineLatency, Collection<? extends MonitoredServer> servers) {
    if (isStalled(now, baselineLatency, servers)) {
      stallEndedAt = now;
    }
    lastAnswerAt = now;
  }

  /** Whether no answer arrives although most servers with parts in flight have an overdue part. */
  public boolean isStalled(
      double now, double baselineLatency, Collection<? extends MonitoredServer> servers) {
    if (now - lastAnswerAt <= OVERDUE_LATENCY_MULTIPLE * baselineLatency) {
      return false;
    }
    int busy = 0;
    int overdue = 0;
    for (MonitoredServer server : servers) {
      double sentAt = server.oldestSentAt();
      busy += sentAt < Double.POSITIVE_INFINITY ? 1 : 0;
      overdue += now - sentAt > OVERDUE_LATENCY_MULTIPLE * baselineLatency ? 1 : 0;
    }
    return overdue >= MIN_OVERDUE_SERVERS && 2 * overdue > busy;
  }

  /**
   * The time from which to count a wait that began at {@code since}: not before the end of the last
   * stall.
   */
  public double stallAdjustedTime(double since) {
    return Math.max(since, stallEndedAt);
  }
}
