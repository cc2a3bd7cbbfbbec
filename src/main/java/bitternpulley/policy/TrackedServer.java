package bitternpulley.policy;

import bitternpulley.health.ServerConcurrencyLimit;
import bitternpulley.health.SlowStartBudget;
import bitternpulley.health.StallDetector;
import bitternpulley.routing.Router;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/** A server as this instance knows it: its state, its health and its attempts in flight. */
final class TrackedServer implements StallDetector.MonitoredServer {
  private final String id;
  private final int zone;
  private final double tieBreaker;
  private final SlowStartBudget slowStart;
  private final ServerConcurrencyLimit concurrencyLimit = new ServerConcurrencyLimit();
  private final ServerLatency latency = new ServerLatency();
  private final ServerFailures failures = new ServerFailures();
  private final Set<AttemptState> inFlight = new LinkedHashSet<>();
  private final Set<AttemptState> inFlightView = Collections.unmodifiableSet(inFlight);
  private Router.ServerState state = Router.ServerState.LIVE;
  private double startedAt;
  private boolean needsTrialRequest;
  private double queueFullUntil = Double.NEGATIVE_INFINITY;
  private double lastAnswerAt = Double.NEGATIVE_INFINITY;
  private double callStartedAt = Double.NEGATIVE_INFINITY;
  private int partsInCall;

  TrackedServer(String id, int zone, double tieBreaker, SlowStartBudget slowStart) {
    this.id = id;
    this.zone = zone;
    this.tieBreaker = tieBreaker;
    this.slowStart = slowStart;
  }

  String id() {
    return id;
  }

  int zone() {
    return zone;
  }

  /** Decides between servers of equal cost: the server with the lowest value is chosen. */
  double tieBreaker() {
    return tieBreaker;
  }

  SlowStartBudget slowStart() {
    return slowStart;
  }

  ServerConcurrencyLimit concurrencyLimit() {
    return concurrencyLimit;
  }

  ServerLatency latency() {
    return latency;
  }

  ServerFailures failures() {
    return failures;
  }

  boolean isLive() {
    return state == Router.ServerState.LIVE;
  }

  /** Whether the server is gone and has no attempt in flight. */
  boolean isRemovable() {
    return state == Router.ServerState.GONE && inFlight.isEmpty();
  }

  /** Applies an entry of the endpoint list. */
  void update(Router.Endpoint endpoint) {
    state = endpoint.state();
    if (endpoint.startedAt() > startedAt) {
      startedAt = endpoint.startedAt();
      slowStart.recordStart(startedAt);
      resetForNewProcess();
    }
  }

  private void resetForNewProcess() {
    latency.reset();
    failures.reset();
    queueFullUntil = Double.NEGATIVE_INFINITY;
    concurrencyLimit.reset();
  }

  /** Marks the server as gone, since it is absent from a complete endpoint list. */
  void markGone() {
    state = Router.ServerState.GONE;
  }

  /** Whether the server still needs its first request after an operator readmitted it. */
  boolean needsTrialRequest() {
    return needsTrialRequest;
  }

  void requestTrial() {
    needsTrialRequest = true;
  }

  /** The time until which the queue of the server counts as full. */
  double queueFullUntil() {
    return queueFullUntil;
  }

  void markQueueFull(double until) {
    queueFullUntil = until;
  }

  /** When the last answer from the server arrived, or negative infinity. */
  double lastAnswerAt() {
    return lastAnswerAt;
  }

  /** Records an answer, after which the server counts as reachable. */
  void recordAnswer(double now) {
    failures.recordSuccess();
    lastAnswerAt = now;
  }

  /** The attempts in flight, oldest first. */
  Set<AttemptState> inFlight() {
    return inFlightView;
  }

  int inFlightCount() {
    return inFlight.size();
  }

  boolean isIdle() {
    return inFlight.isEmpty();
  }

  /** Adds an attempt. It joins the call that is being assembled, or starts a new one. */
  void addInFlight(AttemptState attempt) {
    needsTrialRequest = false;
    inFlight.add(attempt);
    partsInCall = callStartedAt == attempt.sentAt() ? partsInCall + 1 : 1;
    callStartedAt = attempt.sentAt();
  }

  void removeInFlight(AttemptState attempt) {
    inFlight.remove(attempt);
  }

  /** Whether a call to the server is being assembled right now and accepts another part. */
  boolean acceptsPartInCall(double now, int maxPartsPerCall) {
    return callStartedAt == now && partsInCall % maxPartsPerCall != 0;
  }

  @Override
  public double oldestSentAt() {
    return inFlight.isEmpty() ? Double.POSITIVE_INFINITY : inFlight.iterator().next().sentAt();
  }

  /** Ms since the oldest attempt in flight was sent; 0 if there is none. */
  double oldestAge(double now) {
    return Math.max(0, now - oldestSentAt());
  }
}
