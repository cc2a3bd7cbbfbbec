package bitternpulley.policy;

import bitternpulley.health.TenantQuotas;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Admits pending queries by priority weight per work, as long as the limit on parts in flight
 * permits. Rejects queries that cannot be answered by their objective deadline, and the least
 * valuable ones if too many are pending.
 */
final class LoadShedder {
  /** Share of the limit on queries and missing parts above which pending queries are rejected. */
  private static final double PENDING_SHARE = 0.8;

  private final Settings settings;
  private final QueryRegistry registry;
  private final ReviewQueue reviews;
  private final InFlightLimiter limiter;
  private final AnswerForecast forecast;
  private final WaitTimePolicy waits;
  private final QueryCompletion completion;
  private final TenantQuotas tenants;
  private final ProcessShare processShare;

  LoadShedder(
      Settings settings,
      QueryRegistry registry,
      ReviewQueue reviews,
      InFlightLimiter limiter,
      AnswerForecast forecast,
      WaitTimePolicy waits,
      QueryCompletion completion,
      TenantQuotas tenants,
      ProcessShare processShare) {
    this.settings = settings;
    this.registry = registry;
    this.reviews = reviews;
    this.limiter = limiter;
    this.forecast = forecast;
    this.waits = waits;
    this.completion = completion;
    this.tenants = tenants;
    this.processShare = processShare;
  }

  /**
   * The retry delay in ms for a client whose request is rejected unread, or empty if the request is
   * to be read.
   */
  OptionalDouble rejectionDelay(int pending) {
    return pending < processShare.value() * settings.limits().maxPending()
        ? OptionalDouble.empty()
        : OptionalDouble.of(completion.retryAfter());
  }

  /** Admits or rejects pending queries, in order of priority weight per work, then of deadline. */
  void admitPending(double now, Router.Actions out) {
    if (limiter.isReached(limiter.inFlight()) && !isAnyAdmissionDue(now)) {
      return;
    }
    List<QueryState> ordered = new ArrayList<>(registry.pending());
    ordered.sort(
        Comparator.<QueryState>comparingDouble(query -> -priorityPerWork(query, now))
            .thenComparingDouble(QueryState::objectiveDeadline));
    int load = limiter.inFlight();
    for (QueryState query : ordered) {
      // Deciding on every pending query at each event would take quadratic time.
      if (!limiter.isReached(load) || query.isAdmissionDue(now)) {
        load += decideAdmission(query, load, now, out);
      }
    }
    shedExcess(ordered, out);
  }

  private boolean isAnyAdmissionDue(double now) {
    for (QueryState query : registry.pending()) {
      if (query.isAdmissionDue(now)) {
        return true;
      }
    }
    return false;
  }

  /** Admits, rejects or postpones a query; returns the number of parts that it adds to the load. */
  private int decideAdmission(QueryState query, int load, double now, Router.Actions out) {
    query.decideAdmissionAt(now + ReviewScheduler.RECHECK_INTERVAL_MS);
    if (!forecast.isAnswerable(query, now)) {
      completion.giveUp(query, out);
      return 0;
    }
    if (limiter.isReached(load)) {
      double recheckAt =
          Math.max(now + ReviewScheduler.RECHECK_INTERVAL_MS, forecast.latestStartOf(query));
      query.scheduleAlarm(Math.min(query.objectiveDeadline(), recheckAt), out);
      return 0;
    }
    registry.removePending(query);
    query.admit();
    waits.startStep(query, now);
    reviews.add(query);
    return query.parts().size();
  }

  /** Rejects the least valuable pending queries until few enough queries and parts are pending. */
  private void shedExcess(List<QueryState> ordered, Router.Actions out) {
    int pending = 0;
    for (QueryState query : registry.queries()) {
      pending += query.pendingCount();
    }
    double limit = PENDING_SHARE * processShare.value() * settings.limits().maxPending();
    for (int rank = ordered.size() - 1; rank >= 0 && pending > limit; rank--) {
      QueryState query = ordered.get(rank);
      if (registry.pending().contains(query)) {
        pending -= query.pendingCount();
        completion.giveUp(query, out);
      }
    }
  }

  private double priorityPerWork(QueryState query, double now) {
    double weight =
        query.queryClass().priorityWeight()
            * (tenants.isOverQuota(query.query().tenant(), now) ? settings.overQuotaWeight() : 1);
    return settings.weightByWork() ? weight : weight / query.parts().size();
  }
}
