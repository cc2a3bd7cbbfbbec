package bitternpulley.health;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Recent pauses, in which this process did not run. An event that occurred during a pause is
 * noticed only after it, so waiting times that include a pause say nothing about the servers. Times
 * are ms of the caller's clock.
 */
public final class ProcessPauses {
  /** Number of pauses kept, which is more than can occur while one attempt is in flight. */
  private static final int MAX_PAUSES = 32;

  private record Pause(double start, double end) {}

  private final Deque<Pause> recentPauses = new ArrayDeque<>();

  /** Records that the process did not run for the {@code pausedMs} before {@code now}. */
  public void record(double pausedMs, double now) {
    recentPauses.addFirst(new Pause(now - pausedMs, now));
    if (recentPauses.size() > MAX_PAUSES) {
      recentPauses.removeLast();
    }
  }

  /** The number of ms since {@code time} during which the process did not run. */
  public double pausedSince(double time) {
    double paused = 0;
    for (Pause pause : recentPauses) {
      if (pause.end() <= time) {
        break;
      }
      paused += pause.end() - Math.max(pause.start(), time);
    }
    return paused;
  }

  /** Whether the process has run without a pause since {@code time}. */
  public boolean ranWithoutPauseSince(double time) {
    return recentPauses.isEmpty() || recentPauses.getFirst().end() <= time;
  }
}
