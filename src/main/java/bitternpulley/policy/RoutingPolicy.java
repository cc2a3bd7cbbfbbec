package bitternpulley.policy;

import bitternpulley.health.ProcessPauses;
import bitternpulley.health.TenantQuotas;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Makes the decisions of one aggregator instance. It applies each event to the state and, at the
 * end of each batch, reviews the queries that the events affect: a review ends the query if that is
 * due, queues it for admission, or sends, hedges or cancels its attempts. The decisions themselves
 * are left to the policy classes that it creates.
 */
public final class RoutingPolicy implements Router {
  private final Settings settings;
  private final ProcessShare processShare = new ProcessShare();
  private final ProcessPauses pauses = new ProcessPauses();
  private final QueryRegistry registry = new QueryRegistry();
  private final ReviewQueue reviews = new ReviewQueue();
  private final TenantQuotas tenants;
  private final QueryIntake intake;
  private final ServerFleet fleet;
  private final EndpointWatch watch;
  private final InFlightLimiter limiter;
  private final OutcomeRecorder outcomes;
  private final RetryBudget budget;
  private final WaitTimePolicy waits;
  private final AttemptDispatcher dispatcher;
  private final QueryCompletion completion;
  private final ReviewScheduler scheduler;
  private final LoadShedder shedder;

  /** Whether an attempt has ended since pending queries were last considered. */
  private boolean hasFreedCapacity;

  /**
   * Creates a policy that knows no server and no query yet.
   *
   * @param seed seed of the random numbers that break ties between servers and spread repeated
   *     requests to discovery
   */
  public RoutingPolicy(Settings settings, long seed, double now, Actions out) {
    this.settings = settings;
    Random random = new Random(seed);
    tenants = new TenantQuotas(settings.tenants());
    intake = new QueryIntake(settings);
    fleet = new ServerFleet(settings, random);
    watch = new EndpointWatch(settings, random);
    LatencyTracker latencies = new LatencyTracker(settings, pauses);
    OutlierDetector outliers = new OutlierDetector(latencies, fleet, pauses);
    limiter = new InFlightLimiter(latencies, outliers, pauses);
    outcomes = new OutcomeRecorder(settings, fleet, latencies, outliers, limiter);
    ReplicaSelector selector =
        new ReplicaSelector(settings, fleet, latencies, outliers, processShare);
    budget = new RetryBudget(settings);
    RetryPolicy retries = new RetryPolicy(settings, budget, latencies);
    HedgingPolicy hedging =
        new HedgingPolicy(settings, latencies, outliers, selector, retries, budget);
    waits = new WaitTimePolicy(settings, latencies, retries);
    dispatcher =
        new AttemptDispatcher(
            settings, registry, latencies, outliers, limiter, selector, retries, budget, hedging);
    completion = new QueryCompletion(settings, registry, latencies, waits, retries, dispatcher);
    scheduler = new ReviewScheduler(latencies, outliers, hedging);
    AnswerForecast forecast = new AnswerForecast(latencies, outliers, limiter, selector);
    shedder =
        new LoadShedder(
            settings,
            registry,
            reviews,
            limiter,
            forecast,
            waits,
            completion,
            tenants,
            processShare);
    watch.start(out);
  }

  @Override
  public void onServersChanged(
      EndpointListKind kind, List<Endpoint> entries, double now, Actions out) {
    if (kind == EndpointListKind.FAILED) {
      watch.recordFailure(now, out);
      return;
    }
    entries.forEach(fleet::update);
    if (kind == EndpointListKind.PERSISTED) {
      limiter.reset(fleet.servers().size());
    } else {
      watch.recordSuccess();
    }
    if (kind != EndpointListKind.CHANGES) {
      Set<String> listedIds = entries.stream().map(Endpoint::server).collect(Collectors.toSet());
      fleet.markGoneExcept(listedIds);
    }
    fleet.prune();
  }

  /** Treats the server as started now, and sends it a trial request as soon as possible. */
  @Override
  public void onServerReadmitted(Endpoint server, double now, Actions out) {
    Endpoint restarted =
        new Endpoint(server.server(), server.zone(), server.cell(), server.state(), now);
    fleet.update(restarted).requestTrial();
  }

  @Override
  public void onPause(double pausedMs, double now) {
    pauses.record(pausedMs, now);
  }

  @Override
  public void onHotRestart(HotRestartRole role) {
    processShare.setOtherProcess(role);
  }

  @Override
  public void useQuota(QuotaShare quota) {
    fleet.useQuota(quota);
  }

  @Override
  public OptionalDouble rejectionDelay(int pending) {
    return shedder.rejectionDelay(pending);
  }

  @Override
  public void onQuery(Query query, double now, Actions out) {
    budget.recordRequest(now);
    tenants.recordRequest(query.tenant(), query.partCount(), now);
    QueryState accepted = intake.accept(query, now);
    registry.add(accepted);
    reviews.add(accepted);
  }

  @Override
  public void onPart(Part part, double now, Actions out) {
    budget.recordRequest(now);
    QueryState query = registry.queryByNumber(part.queryNumber());
    if (query != null) {
      registry.addPart(new PartState(part, query));
      reviews.add(query);
    }
  }

  @Override
  public void onAttemptEnded(AttemptEnded ended, double now, Actions out) {
    PartState part = registry.part(ended.part());
    if (part == null || !part.isInFlight(ended.attempt())) {
      return;
    }
    AttemptState attempt = part.attempt(ended.attempt());
    part.endAttempt(attempt, ended.outcome());
    limiter.recordEnded(attempt);
    attempt.server().removeInFlight(attempt);
    hasFreedCapacity = true;
    outcomes.record(attempt, ended, now);
    if (ended.outcome() == Outcome.OK) {
      reviewOvertakenBy(attempt);
      recordAnswer(part, now, out);
    }
    reviewQueryOf(part);
  }

  /**
   * Counts an answer against the earlier attempts at the same server, and reviews the queries whose
   * attempts thereby count as lost.
   */
  private void reviewOvertakenBy(AttemptState answered) {
    for (AttemptState other : answered.server().inFlight()) {
      if (other.sentAt() < answered.sentAt() && other.recordOvertaken()) {
        reviews.add(other.query().requestReview());
      }
    }
  }

  private void recordAnswer(PartState part, double now, Actions out) {
    if (!part.isSettled()) {
      part.recordAnswer(now);
      dispatcher.cancelAll(part, out);
    }
  }

  private void reviewQueryOf(PartState part) {
    QueryState query = part.query();
    if (!query.isFinished() && part.isOfCurrentStep()) {
      boolean needsFullReview = !part.isSettled() || query.hasConnectionReset();
      reviews.add(needsFullReview ? query.requestReview() : query);
    } else if (!part.hasAttemptInFlight()) {
      registry.removePart(part);
    }
  }

  @Override
  public void onClientDisconnected(long queryId, double now, Actions out) {
    QueryState query = registry.query(queryId);
    if (query != null) {
      completion.end(query, out);
    }
  }

  @Override
  public void onAlarm(String token, double now, Actions out) {
    if (token.equals(AlarmTokens.WATCH_ENDPOINTS)) {
      out.watchEndpoints();
    } else if (AlarmTokens.isQueryToken(token)) {
      QueryState query = registry.query(AlarmTokens.queryId(token));
      if (query != null) {
        // An alarm may fire slightly early, since its time is rounded by the caller.
        query.clearAlarm(now + settings.tick());
        reviews.add(query.requestReview());
      }
    }
  }

  @Override
  public void completeBatch(double now, Actions out) {
    while (hasFreedCapacity || !reviews.isEmpty()) {
      hasFreedCapacity = false;
      reviews.drain().forEach(query -> review(query, now, out));
      if (reviews.isEmpty() && !registry.pending().isEmpty()) {
        shedder.admitPending(now, out);
      }
    }
  }

  private void review(QueryState query, double now, Actions out) {
    if (query.isFinished()) {
      return;
    }
    if (query.isAwaitingParts() && !query.parts().isEmpty()) {
      if (query.isFirstStep()) {
        registry.addPending(query);
        return;
      }
      query.admit();
      waits.startStep(query, now);
    }
    // An answer by itself needs no review of the other missing parts: reviewing them all at each
    // answer would take quadratic time.
    if (!completion.completeIfDue(query, now, out) && query.isReviewDue(now)) {
      dispatchOrGiveUp(query, now, out);
    }
  }

  private void dispatchOrGiveUp(QueryState query, double now, Actions out) {
    if (!completion.isUnattainable(query, now)) {
      dispatcher.dispatch(query, now, out);
    }
    if (completion.isUnattainable(query, now)) {
      completion.giveUp(query, out);
    } else {
      scheduler.schedule(query, now, out);
    }
  }
}
