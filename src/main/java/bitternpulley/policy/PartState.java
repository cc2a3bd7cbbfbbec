package bitternpulley.policy;

import bitternpulley.routing.Router;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** One part of a query's step, with its attempts. */
final class PartState {
  private final Router.Part part;
  private final QueryState query;
  private final StepArrivals arrivals;
  private final List<AttemptState> attempts = new ArrayList<>();
  private final List<AttemptState> attemptsView = Collections.unmodifiableList(attempts);
  private double expectedAt = Double.POSITIVE_INFINITY;
  private boolean isSettled;
  private int inFlightCount;
  private double availableAt;

  /** Creates a part of the query's current step. */
  PartState(Router.Part part, QueryState query) {
    this.part = part;
    this.query = query;
    this.arrivals = query.arrivals();
  }

  long id() {
    return part.id();
  }

  int shard() {
    return part.shard();
  }

  /** The part's share of the weight of the complete answer. */
  double weight() {
    return part.weight();
  }

  /** The work of the part in ms as stated by the query, or 0 if not stated. */
  double estimatedWork() {
    return part.estimatedWork();
  }

  QueryState query() {
    return query;
  }

  /** Whether the query is still at the step to which the part belongs. */
  boolean isOfCurrentStep() {
    return arrivals == query.arrivals();
  }

  /** All attempts, in the order of their numbers. */
  List<AttemptState> attempts() {
    return attemptsView;
  }

  int attemptCount() {
    return attempts.size();
  }

  AttemptState attempt(int number) {
    return attempts.get(number);
  }

  int inFlightCount() {
    return inFlightCount;
  }

  boolean hasAttemptInFlight() {
    return inFlightCount > 0;
  }

  /** Whether the part was answered, or its query was answered without it. */
  boolean isSettled() {
    return isSettled;
  }

  /**
   * The earliest time at which an attempt was expected to be answered, as estimated when it was
   * sent.
   */
  double expectedAt() {
    return expectedAt;
  }

  /**
   * When a server is expected to accept the part, as determined when none could be selected;
   * otherwise a time in the past.
   */
  double availableAt() {
    return availableAt;
  }

  void setAvailableAt(double time) {
    availableAt = time;
  }

  /** Starts the next attempt, given its expected latency in ms. */
  AttemptState startAttempt(TrackedServer server, double now, double expectedLatency) {
    AttemptState attempt = new AttemptState(this, server, attempts.size(), now);
    attempts.add(attempt);
    inFlightCount++;
    expectedAt = Math.min(expectedAt, now + expectedLatency);
    return attempt;
  }

  /** Ends an attempt that is in flight. */
  void endAttempt(AttemptState attempt, Router.Outcome outcome) {
    attempt.end(outcome);
    inFlightCount--;
  }

  /**
   * Records that the part was answered at this time. The arrival is recorded even if the query is
   * finished.
   */
  void recordAnswer(double now) {
    arrivals.add(now, weight());
    isSettled = true;
    query.addAnswered(this);
  }

  /** Records an assumed arrival time of the part, since its query is answered without it. */
  void recordCensored(double time) {
    isSettled = true;
    arrivals.add(time, weight());
  }

  /** Whether an attempt with this number exists and is in flight. */
  boolean isInFlight(int number) {
    return number < attempts.size() && attempts.get(number).isInFlight();
  }

  /** The earliest attempt in flight; there must be one. */
  AttemptState firstInFlight() {
    return attempts.stream().filter(AttemptState::isInFlight).findFirst().orElseThrow();
  }

  /** The latest attempt in flight; there must be one. */
  AttemptState lastInFlight() {
    int number = attempts.size() - 1;
    while (!attempts.get(number).isInFlight()) {
      number--;
    }
    return attempts.get(number);
  }

  /** Whether an attempt was ever sent to this server. */
  boolean wasSentTo(TrackedServer server) {
    for (AttemptState attempt : attempts) {
      if (attempt.server() == server) {
        return true;
      }
    }
    return false;
  }

  /** Whether an attempt is in flight at this server. */
  boolean isInFlightAt(TrackedServer server) {
    if (inFlightCount == 0) {
      return false;
    }
    for (AttemptState attempt : attempts) {
      if (attempt.isInFlight() && attempt.server() == server) {
        return true;
      }
    }
    return false;
  }

  /**
   * The time until which the part is not sent again to a server that ended an attempt without
   * running it. The backoff grows with the square of the number of attempts so far.
   *
   * @param unit backoff after one attempt in ms
   */
  double backoffUntil(TrackedServer server, double unit) {
    double backoff = attempts.size() * attempts.size() * unit;
    double until = Double.NEGATIVE_INFINITY;
    for (AttemptState attempt : attempts) {
      if (attempt.server() == server && attempt.isProvenNotRun() && !attempt.isInFlight()) {
        until = Math.max(until, attempt.sentAt() + backoff);
      }
    }
    return until;
  }

  /** Whether any server may have started to process the part. */
  boolean mayHaveRun() {
    for (AttemptState attempt : attempts) {
      if (attempt.isInFlight() || !attempt.isProvenNotRun()) {
        return true;
      }
    }
    return false;
  }

  /** When the first attempt that may have run was sent; there must be one. */
  double firstPossibleRunAt() {
    return attempts.stream()
        .filter(attempt -> !attempt.isProvenNotRun())
        .findFirst()
        .orElseThrow()
        .sentAt();
  }
}
