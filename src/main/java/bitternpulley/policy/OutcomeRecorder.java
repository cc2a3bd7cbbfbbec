package bitternpulley.policy;

import bitternpulley.health.ZoneLatency;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;

/** Updates the state of servers, zones and limits by the outcome of each attempt. */
final class OutcomeRecorder {
  /** Least work of a part, in ticks, for which the gap between two answers is measurable. */
  private static final double MEASURABLE_WORK_TICKS = 4;

  private final Settings settings;
  private final ServerFleet fleet;
  private final LatencyTracker latencies;
  private final OutlierDetector outliers;
  private final InFlightLimiter limiter;

  OutcomeRecorder(
      Settings settings,
      ServerFleet fleet,
      LatencyTracker latencies,
      OutlierDetector outliers,
      InFlightLimiter limiter) {
    this.settings = settings;
    this.fleet = fleet;
    this.latencies = latencies;
    this.outliers = outliers;
    this.limiter = limiter;
  }

  /** Records the outcome of an attempt that is no longer in flight. */
  void record(AttemptState attempt, Router.AttemptEnded ended, double now) {
    double elapsed = Math.max(ended.elapsed(), now - attempt.sentAt());
    boolean connectTimedOut = isConnectTimeout(ended.outcome(), elapsed);
    recordConnection(attempt, connectTimedOut, now);
    if (ended.outcome() == Router.Outcome.OK || !limiter.isTimely(attempt, elapsed)) {
      limiter.adjust(attempt, elapsed);
    }
    switch (ended.outcome()) {
      case OK -> recordAnswer(attempt, elapsed, now);
      case CANCELLED, TIMEOUT -> recordUnanswered(attempt, elapsed, now);
      case ERROR -> outliers.recordFailure(attempt.server(), now);
      case REJECTED -> recordRejection(attempt.server(), now);
      case UNREACHABLE -> recordUnreachable(attempt.server(), connectTimedOut, now);
      case RESET -> {
        attempt.query().recordConnectionReset(attempt);
        outliers.recordConnectionReset(attempt, now);
      }
      case NOT_SENT -> {
        // The attempt never left this instance, so it says nothing about the server.
      }
    }
  }

  /**
   * Distinguishes a connect timeout from a refused connection: a dead process refuses at once, a
   * longer delay comes from the network or the handshake.
   */
  private boolean isConnectTimeout(Router.Outcome outcome, double elapsed) {
    return outcome == Router.Outcome.UNREACHABLE
        && elapsed > settings.limits().connectTimeout() / 2;
  }

  private void recordConnection(AttemptState attempt, boolean connectTimedOut, double now) {
    ZoneLatency zone = latencies.zone(attempt.server().zone());
    if (connectTimedOut) {
      if (attempt.usesNewConnection() || !outliers.isOutlier(attempt.server(), now)) {
        zone.recordConnectionFailed();
      }
    } else if (attempt.usesNewConnection()) {
      zone.recordConnectionEstablished();
    }
  }

  private void recordAnswer(AttemptState attempt, double elapsed, double now) {
    TrackedServer server = attempt.server();
    outliers.recordAnswer(now);
    if (limiter.isTimely(attempt, elapsed)) {
      server.concurrencyLimit().recordTimelyAnswer(attempt.sentAt(), server.inFlightCount());
    } else if (outliers.processRanDuring(attempt)) {
      server.concurrencyLimit().recordLateAnswer(attempt.sentAt(), now);
    }
    if (outliers.processRanDuring(attempt)) {
      latencies.recordLatency(server, elapsed);
      latencies.recordWork(attempt, elapsed);
      recordAnswerGap(attempt, now);
    }
    if (!attempt.isLate()) {
      latencies.zone(server.zone()).recordInTime();
    }
    if (server.failures().refusesConnections()) {
      // A server that refused connections and now answers has restarted, even if the endpoint list
      // does not say so.
      server.slowStart().recordStart(now);
    }
    server.recordAnswer(now);
  }

  /**
   * Estimates the cores of a server from the time between two answers to parts that were in flight
   * together. The server must be warm and not a slow outlier.
   */
  private void recordAnswerGap(AttemptState attempt, double now) {
    TrackedServer server = attempt.server();
    double work = latencies.workOf(attempt.part());
    boolean isMeasurable =
        work >= MEASURABLE_WORK_TICKS * settings.tick()
            && server.slowStart().warmupFraction(attempt.sentAt()) >= 1
            && !server.latency().isSlowOutlier();
    if (attempt.sentAt() < server.lastAnswerAt() && isMeasurable) {
      fleet.cores().recordAnswerGap(now - server.lastAnswerAt(), work);
    }
  }

  private void recordUnanswered(AttemptState attempt, double elapsed, double now) {
    TrackedServer server = attempt.server();
    server.concurrencyLimit().recordCancelled(attempt.sentAt());
    if (outliers.processRanDuring(attempt) && elapsed > latencies.expectedLatencyOf(server, now)) {
      latencies.recordLatency(server, elapsed);
    }
    outliers.recordUnanswered(attempt, elapsed, now);
  }

  /**
   * Pauses sending to a server whose queue was full. The server is healthy, but further parts would
   * only keep its queue full and be cancelled before they run. A longer pause would leave the
   * server idle.
   */
  private void recordRejection(TrackedServer server, double now) {
    server.markQueueFull(now + latencies.queueFullPause());
    server.concurrencyLimit().recordRejection(server.inFlightCount(), now);
  }

  private void recordUnreachable(TrackedServer server, boolean connectTimedOut, double now) {
    if (!connectTimedOut) {
      server.failures().recordRefusedConnection();
    }
    outliers.recordFailure(server, now);
  }
}
