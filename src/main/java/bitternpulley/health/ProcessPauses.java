package bitternpulley.health;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The latest times in which this process did not run. What it waited for then may have happened
 * long before it could notice, so these times tell nothing of the servers. Times are ms of the
 * caller's clock.
 */
public final class ProcessPauses {
  /** Pauses remembered: more than fit into the time for which an attempt is in flight. */
  private static final int MAX_PAUSES = 32;

  private record Pause(double from, double until) {}

  private final Deque<Pause> latest = new ArrayDeque<>();

  /** Records that the process did not run for {@code pausedMs} until now. */
  public void record(double pausedMs, double now) {
    latest.addFirst(new Pause(now - pausedMs, now));
    if (latest.size() > MAX_PAUSES) {
      latest.removeLast();
    }
  }

  /** Ms since that time in which the process did not run. */
  public double pausedSince(double time) {
    double paused = 0;
    for (Pause pause : latest) {
      if (pause.until() <= time) {
        break;
      }
      paused += pause.until() - Math.max(pause.from(), time);
    }
    return paused;
  }

  /** Whether the process ran all the time since then. */
  public boolean ranSince(double time) {
    return latest.isEmpty() || latest.getFirst().until() <= time;
  }
}
