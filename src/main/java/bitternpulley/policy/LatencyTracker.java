package bitternpulley.policy;

import bitternpulley.health.ProcessPauses;
import bitternpulley.health.WorkEstimate;
import bitternpulley.health.ZoneLatency;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the latencies of servers and zones, the baseline latency derived from them, and the work
 * of a part. Delays after which something counts as late are multiples of the baseline latency, so
 * they adapt to the work of a deployment.
 */
final class LatencyTracker {
  /** Baseline latency before the first answer, as a share of the shortest latency objective. */
  private static final double INITIAL_OBJECTIVE_SHARE = 0.1;

  /** Multiple of the baseline latency after which an attempt is late. */
  private static final double LATE_MULTIPLE = 4;

  /** Multiple of the baseline latency after which a full queue is expected to have room again. */
  private static final double QUEUE_FULL_MULTIPLE = 2;

  /**
   * Half-life in ms of the difference between the latency of an idle server and that of its zone.
   */
  private static final double DEVIATION_HALF_LIFE_MS = 4000;

  private final ProcessPauses pauses;
  private final double initialLatency;
  private final List<ZoneLatency> zones = new ArrayList<>();
  private final WorkEstimate workEstimate = new WorkEstimate();
  private double baseline;

  LatencyTracker(Settings settings, ProcessPauses pauses) {
    this.pauses = pauses;
    double shortestObjective =
        settings.classes().stream()
            .mapToDouble(Settings.QueryClass::latencyObjective)
            .min()
            .orElse(1);
    initialLatency = INITIAL_OBJECTIVE_SHARE * shortestObjective;
    baseline = initialLatency;
  }

  /**
   * The latency of the fastest zone in ms. Slow zones do not raise it, and single slow answers
   * hardly do.
   */
  double baseline() {
    return baseline;
  }

  /** Ms after which an attempt is late. */
  double lateAfter() {
    return LATE_MULTIPLE * baseline;
  }

  /** Ms after which a server whose queue was full is tried again. */
  double queueFullPause() {
    return QUEUE_FULL_MULTIPLE * baseline;
  }

  /** The statistics of the network path to the servers of a zone. */
  ZoneLatency zone(int zone) {
    while (zones.size() <= zone) {
      zones.add(new ZoneLatency(initialLatency));
    }
    return zones.get(zone);
  }

  /** Records how long an attempt at a server took in ms, whether it was answered or not. */
  void recordLatency(TrackedServer server, double latency) {
    ZoneLatency zone = zone(server.zone());
    server.latency().record(latency, zone.latency());
    zone.recordLatency(latency);
    updateBaseline();
    server.latency().updateSlowOutlier(baseline);
  }

  private void updateBaseline() {
    double least = Double.POSITIVE_INFINITY;
    for (ZoneLatency zone : zones) {
      least = Math.min(least, zone.measuredLatency());
    }
    baseline = least;
  }

  /** Updates the estimated work of parts from the latency of an answer. */
  void recordWork(AttemptState attempt, double latency) {
    if (attempt.isSoleRequest()) {
      workEstimate.recordSoleRequestAnswer(latency);
    } else {
      workEstimate.recordAnswer(latency);
    }
  }

  /** The work of a part in ms, as stated by the query or else as estimated from answers. */
  double workOf(PartState part) {
    return part.estimatedWork() > 0 ? part.estimatedWork() : workEstimate.estimate(baseline);
  }

  /**
   * The latency of a server in ms: its smoothed latency, which approaches that of its zone while
   * the server is idle, but at least the time for which its oldest attempt has waited without any
   * answer from the server.
   */
  double latencyOf(TrackedServer server, double now) {
    double latency = zone(server.zone()).latency() / server.slowStart().warmupFraction(now);
    double smoothed = server.latency().smoothed();
    if (smoothed > 0) {
      double idle = server.isIdle() ? now - Math.max(server.lastAnswerAt(), 0) : 0;
      latency += (smoothed - latency) * Math.pow(0.5, idle / DEVIATION_HALF_LIFE_MS);
    }
    // A server that answers all other parts is not slow because of a single unanswered one.
    double waited = server.oldestAge(now) - pauses.pausedSince(now - server.oldestAge(now));
    double unanswered = Math.min(waited, now - server.lastAnswerAt());
    return Math.max(latency, unanswered);
  }

  /** The expected time in ms until a server answers successfully, including repeated attempts. */
  double expectedLatencyOf(TrackedServer server, double now) {
    double successRate = server.failures().successRate();
    return latencyOf(server, now) / (successRate * successRate);
  }
}
