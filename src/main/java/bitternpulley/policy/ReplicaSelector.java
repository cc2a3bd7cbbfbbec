package bitternpulley.policy;

import bitternpulley.health.PartPriority;
import bitternpulley.routing.Settings;

/**
 * Chooses the server for a part: of the servers that hold its shard, the one with the lowest cost.
 * The cost is mainly the expected latency of the server, multiplied by the number of parts in
 * flight there plus one. Outliers and servers to which the part was sent before are the last
 * resort.
 */
final class ReplicaSelector {
  /** Cost factor per unit of the configured cost of crossing zones. */
  private static final double CROSS_ZONE_FACTOR = 5;

  /** The purpose for which a server is selected. */
  private enum Purpose {
    /** The part has no attempt in flight. */
    ATTEMPT,
    /** The part has an attempt in flight that is late. */
    ALTERNATIVE
  }

  private enum Rank {
    PREFERRED,
    LAST_RESORT
  }

  private final Settings settings;
  private final ServerFleet fleet;
  private final LatencyTracker latencies;
  private final OutlierDetector outliers;
  private final ProcessShare processShare;

  ReplicaSelector(
      Settings settings,
      ServerFleet fleet,
      LatencyTracker latencies,
      OutlierDetector outliers,
      ProcessShare processShare) {
    this.settings = settings;
    this.fleet = fleet;
    this.latencies = latencies;
    this.outliers = outliers;
    this.processShare = processShare;
  }

  /** The server for a part without an attempt in flight, or null if none can take it now. */
  TrackedServer selectForAttempt(PartState part, double now) {
    return select(part, Purpose.ATTEMPT, now);
  }

  /**
   * The server for a part whose attempt is late, or null if none can take it. Servers due for a
   * trial request are not preferred.
   */
  TrackedServer selectAlternative(PartState part, double now) {
    return select(part, Purpose.ALTERNATIVE, now);
  }

  private TrackedServer select(PartState part, Purpose purpose, double now) {
    TrackedServer best = null;
    double bestCost = 0;
    Rank bestRank = Rank.PREFERRED;
    for (TrackedServer server : fleet.serversForShard(part.shard())) {
      if (!canTake(part, server, purpose, now)) {
        continue;
      }
      // A trial request has no cost: a server that is warming up or has failed looks slow, and
      // would otherwise never be chosen again.
      boolean isTrial = purpose == Purpose.ATTEMPT && isTrialDue(server, now);
      Rank rank = rank(part, server, isTrial, now);
      double cost = isTrial ? 0 : cost(part, server, now);
      if (best == null
          || rank.compareTo(bestRank) < 0
          || (rank == bestRank && isCheaper(server, cost, best, bestCost))) {
        best = server;
        bestCost = cost;
        bestRank = rank;
      }
    }
    return best;
  }

  private boolean canTake(PartState part, TrackedServer server, Purpose purpose, double now) {
    if (outliers.isUnreachable(server, now)
        || now < part.backoffUntil(server, latencies.queueFullPause())) {
      return false;
    }
    if (purpose == Purpose.ATTEMPT && !hasCapacity(part, server, now)) {
      return false;
    }
    return server.isLive()
        && now >= server.queueFullUntil()
        && !part.isInFlightAt(server)
        && server
            .slowStart()
            .allows(latencies.workOf(part), priority(part.query(), now), processShare.value(), now);
  }

  /** Whether a server has capacity for a part; only slow outliers are limited. */
  private boolean hasCapacity(PartState part, TrackedServer server, double now) {
    return !server.latency().isSlowOutlier()
        || server
            .concurrencyLimit()
            .hasCapacity(server.inFlightCount(), priority(part.query(), now), now);
  }

  private boolean isTrialDue(TrackedServer server, double now) {
    return server.needsTrialRequest() || outliers.isTrialDue(server, now);
  }

  private Rank rank(PartState part, TrackedServer server, boolean isTrial, double now) {
    return part.wasSentTo(server) || (outliers.isOutlier(server, now) && !isTrial)
        ? Rank.LAST_RESORT
        : Rank.PREFERRED;
  }

  private double cost(PartState part, TrackedServer server, double now) {
    double crossZone =
        server.zone() == settings.zone() ? 0 : CROSS_ZONE_FACTOR * settings.costs().crossZone();
    double inTimeShare = latencies.zone(server.zone()).inTimeShare();
    return latencies.expectedLatencyOf(server, now)
        * (server.inFlightCount() + 1 + callCost(part, server, now))
        * (1 + crossZone)
        / (inTimeShare * inTimeShare);
  }

  /**
   * The cost of a new call, expressed in parts. Adding a part to a call that is still being
   * assembled costs nothing.
   */
  private double callCost(PartState part, TrackedServer server, double now) {
    Settings.Layout layout = settings.layout();
    return server.acceptsPartInCall(now, layout.maxPartsPerCall())
        ? 0
        : layout.callWork() / Math.max(1, latencies.workOf(part));
  }

  private static boolean isCheaper(
      TrackedServer server, double cost, TrackedServer best, double bestCost) {
    return cost < bestCost || (cost == bestCost && server.tieBreaker() < best.tieBreaker());
  }

  /**
   * Estimates when a server can take a part that no server can take now: at its next trial request,
   * once its queue has room again, or when its slow-start budget allows.
   *
   * @return infinity if no server can take the part by {@code until}
   */
  double nextAvailableAt(PartState part, double until, double now) {
    double earliest = Double.POSITIVE_INFINITY;
    for (TrackedServer server : fleet.serversForShard(part.shard())) {
      double time = capacityAt(part, server, now);
      if (server.isLive() && time < earliest) {
        double allowedAt =
            server
                .slowStart()
                .nextAllowedAt(
                    latencies.workOf(part),
                    priority(part.query(), now),
                    processShare.value(),
                    time,
                    until);
        earliest = Math.min(earliest, allowedAt);
      }
    }
    return earliest;
  }

  /**
   * When a server is reachable and has capacity for a part, regardless of its slow-start budget.
   */
  private double capacityAt(PartState part, TrackedServer server, double now) {
    double backoffUntil = part.backoffUntil(server, latencies.queueFullPause());
    double time = Math.max(now, Math.max(server.queueFullUntil(), backoffUntil));
    if (server.failures().refusesConnections()) {
      time = Math.max(time, server.failures().ejectedUntil());
    }
    if (server.latency().isSlowOutlier()) {
      double capacityAt =
          server
              .concurrencyLimit()
              .nextCapacityAt(server.inFlightCount(), priority(part.query(), now), now);
      time = Math.max(time, capacityAt);
    }
    return time;
  }

  /**
   * How urgently the parts of a query need scarce capacity. They are deferrable if they only serve
   * a late answer, or if a partial answer is possible without the parts not yet sent. Early in a
   * step, the latter is assumed for every class that allows partial answers.
   */
  PartPriority priority(QueryState query, double now) {
    if (now >= query.objectiveDeadline()) {
      return PartPriority.DEFERRABLE;
    }
    boolean isEarly = now < query.stepStartedAt() + latencies.lateAfter();
    boolean isOptional =
        query.queryClass().allowsPartialAnswer()
            && (isEarly || query.reachesMinimum(query.attainableWeight()));
    return isOptional ? PartPriority.DEFERRABLE : PartPriority.URGENT;
  }
}
