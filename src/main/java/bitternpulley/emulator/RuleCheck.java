package bitternpulley.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the rules whose violation the servers can observe, over all servers together: a part has
 * at most four attempts and never two at a time, a part with an idempotency key is retried only
 * within the deduplication window, a part goes only to servers that have its shard, a draining
 * server gets nothing new, and a server that is warming up gets no more work than the limit for its
 * warm-up allows. The state of old parts is discarded.
 */
public final class RuleCheck {
  private static final int MAX_ATTEMPTS = 4;

  /** The 5000 ms of the window, and 50 ms that a busy machine may add. */
  private static final double DEDUPLICATION_WINDOW_MS = 5000 + 50;

  /** The 250 ms in which aggregators must react to a drain, and 50 ms for a busy machine. */
  private static final double DRAIN_NOTICE_MS = 250 + 50;

  /**
   * Time in which two attempts of a part may overlap, because the cancellation of the first may
   * arrive after the second attempt, which is sent over another connection.
   */
  private static final double CANCELLATION_DELAY_MS = 100;

  private static final double PART_RETENTION_MS = 15_000;
  private static final int MAX_RECORDED_VIOLATIONS = 20;

  /** Share of its capacity that a server has when it starts; {@link Fleet} configures the same. */
  static final double WARMUP_START_FRACTION = 0.2;

  /** Time until a server has its full capacity; {@link Fleet} configures the same. */
  static final double WARMUP_MS = 17_000;

  /** Time over which the work sent to a server is summed; {@link Fleet} configures the same. */
  static final double OVERLOAD_WINDOW_MS = 1000;

  /**
   * Multiple of its capacity that a server may be sent while warming up; {@link Fleet} configures
   * the same.
   */
  static final double OVERLOAD_MULTIPLE = 2;

  /** The work sent to a server while it is warming up. */
  private static final class WarmUp {
    final int cores;
    final double startMs;

    /** Time and work in ms of each part within the overload window. */
    final ArrayDeque<double[]> window = new ArrayDeque<>();

    double windowWorkMs;

    /** The largest share of its limit that the server was sent within any window. */
    double maxLimitShare;

    double totalWorkMs;

    WarmUp(int cores, double startMs) {
      this.cores = cores;
      this.startMs = startMs;
    }
  }

  /** The attempts of a part. */
  private static final class Part {
    int attempts;
    int inFlight;
    double firstAttemptMs;
    double lastEndMs;
    double overlapStartMs = Double.NaN;
  }

  private final Map<String, WarmUp> warmUps = new HashMap<>();
  private final Map<String, Part> parts = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int violationCount;
  private double lastCleanupMs;

  /**
   * Checks an attempt that a server has received.
   *
   * @param partId the id of the part
   * @param hasKey whether the query has an idempotency key
   * @param hasShard whether the server has the part's shard
   * @param drainingSinceMs since when the server has been draining, or NaN
   * @param nowMs the current time
   */
  public synchronized void attemptStarted(
      String partId, boolean hasKey, boolean hasShard, double drainingSinceMs, double nowMs) {
    discardOldParts(nowMs);
    Part part = parts.computeIfAbsent(partId, ignored -> new Part());
    part.firstAttemptMs = part.attempts == 0 ? nowMs : part.firstAttemptMs;
    if (++part.attempts > MAX_ATTEMPTS) {
      recordViolation(partId + " had " + part.attempts + " attempts");
    }
    if (++part.inFlight > 1) {
      part.overlapStartMs = nowMs;
    }
    if (hasKey && part.attempts > 1 && nowMs > part.firstAttemptMs + DEDUPLICATION_WINDOW_MS) {
      recordViolation(partId + " was retried after its deduplication window");
    }
    if (!hasShard) {
      recordViolation(partId + " was sent to a server that does not have its shard");
    }
    if (nowMs > drainingSinceMs + DRAIN_NOTICE_MS) {
      recordViolation(partId + " was sent to a draining server");
    }
  }

  /** Records that an attempt was answered or cancelled, or that its connection was closed. */
  public synchronized void attemptEnded(String partId, double nowMs) {
    Part part = parts.get(partId);
    if (part == null) {
      return;
    }
    part.inFlight--;
    part.lastEndMs = nowMs;
    if (!Double.isNaN(part.overlapStartMs) && part.inFlight <= 1) {
      if (nowMs > part.overlapStartMs + CANCELLATION_DELAY_MS) {
        recordViolation(
            partId
                + " had two attempts in flight for "
                + Math.round(nowMs - part.overlapStartMs)
                + " ms");
      }
      part.overlapStartMs = Double.NaN;
    }
  }

  /** Records that a server has restarted, which warms up from now on. */
  synchronized void serverStarted(String server, int cores, double nowMs) {
    warmUps.put(server, new WarmUp(cores, nowMs));
  }

  /** Records that a server has received a part of this many ms of work. */
  synchronized void workReceived(String server, double workMs, double nowMs) {
    WarmUp warmUp = warmUps.get(server);
    if (warmUp == null || nowMs > warmUp.startMs + WARMUP_MS) {
      return;
    }
    warmUp.window.add(new double[] {nowMs, workMs});
    warmUp.windowWorkMs += workMs;
    warmUp.totalWorkMs += workMs;
    while (warmUp.window.peek()[0] < nowMs - OVERLOAD_WINDOW_MS) {
      warmUp.windowWorkMs -= warmUp.window.poll()[1];
    }
    double limitShare =
        warmUp.windowWorkMs
            / (OVERLOAD_MULTIPLE
                * warmUp.cores
                * (WARMUP_START_FRACTION
                    + (1 - WARMUP_START_FRACTION) * (nowMs - warmUp.startMs) / WARMUP_MS)
                * OVERLOAD_WINDOW_MS);
    if (limitShare > 1 && warmUp.maxLimitShare <= 1) {
      recordViolation(
          server
              + " was sent "
              + Math.round(warmUp.windowWorkMs)
              + " ms of work within a window while warming up, "
              + limitShare
              + " times its limit");
    }
    warmUp.maxLimitShare = Math.max(warmUp.maxLimitShare, limitShare);
  }

  /**
   * Returns the largest share of its limit that a server was sent within any window of its last
   * warm-up; 0 for a server that was never restarted.
   */
  public synchronized double maxWarmupLimitShare(String server) {
    return warmUps.containsKey(server) ? warmUps.get(server).maxLimitShare : 0;
  }

  /** Returns how many ms of work a server was sent during its last warm-up; 0 without one. */
  public synchronized double warmupWorkMs(String server) {
    return warmUps.containsKey(server) ? warmUps.get(server).totalWorkMs : 0;
  }

  private void recordViolation(String description) {
    violationCount++;
    if (violations.size() < MAX_RECORDED_VIOLATIONS) {
      violations.add(description);
    }
  }

  private void discardOldParts(double nowMs) {
    if (nowMs > lastCleanupMs + PART_RETENTION_MS) {
      lastCleanupMs = nowMs;
      parts
          .values()
          .removeIf(part -> part.inFlight == 0 && nowMs > part.lastEndMs + PART_RETENTION_MS);
    }
  }

  /** Returns how many violations were observed. */
  public synchronized int countViolations() {
    return violationCount;
  }

  /** Returns descriptions of the first violations. */
  public synchronized List<String> firstViolations() {
    return List.copyOf(violations);
  }
}
