package bitternpulley.policy;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A query from its arrival to its final answer. Times are ms of the caller's clock. */
final class QueryState {
  /** Rounding error allowed in sums of weights; half of the error that the rules tolerate. */
  static final double WEIGHT_TOLERANCE = 5e-5;

  private static final double NO_EXTENSION = -1;

  private final Router.Query query;
  private final Settings.QueryClass queryClass;
  private final double objectiveDeadline;
  private final double answerDeadline;
  private final List<PartState> parts = new ArrayList<>();
  private final List<PartState> partsView = Collections.unmodifiableList(parts);
  private final Set<PartState> missing = new LinkedHashSet<>();
  private final Set<PartState> missingView = Collections.unmodifiableSet(missing);
  private QueryPhase phase = QueryPhase.AWAITING_PARTS;
  private double answeredWeight;
  private boolean isFirstStep = true;
  private boolean isFirstStepComplete = true;
  private double stepStartedAt;
  private double stepObjective;
  private double baseWaitEnd;
  private double extendedUntil = NO_EXTENSION;
  private StepArrivals arrivals = new StepArrivals();
  private boolean hasConnectionReset;
  private boolean isSuspectedQueryOfDeath;
  private double nextReviewAt = Double.NEGATIVE_INFINITY;
  private double nextAdmissionAt = Double.NEGATIVE_INFINITY;
  private double alarmAt = Double.POSITIVE_INFINITY;

  QueryState(
      Router.Query query,
      Settings.QueryClass queryClass,
      double now,
      double objectiveDeadline,
      double answerDeadline) {
    this.query = query;
    this.queryClass = queryClass;
    this.stepStartedAt = now;
    this.objectiveDeadline = objectiveDeadline;
    this.answerDeadline = answerDeadline;
  }

  long id() {
    return query.id();
  }

  Router.Query query() {
    return query;
  }

  /** The query class, as modified by the terms of the query. */
  Settings.QueryClass queryClass() {
    return queryClass;
  }

  /** The latest time at which an answer has the full payoff. */
  double objectiveDeadline() {
    return objectiveDeadline;
  }

  /** The time by which the final answer has to be sent. */
  double answerDeadline() {
    return answerDeadline;
  }

  /** The time from which an attempt is no longer useful. */
  double attemptDeadline() {
    return queryClass.latePriorityWeight() > 0 ? answerDeadline : objectiveDeadline;
  }

  /** The parts of the current step. */
  List<PartState> parts() {
    return partsView;
  }

  /** The parts of the current step that are not answered yet, in the order of their arrival. */
  Set<PartState> missing() {
    return missingView;
  }

  /** The number that the query adds towards the limit on queries and missing parts. */
  int pendingCount() {
    return 1 + missing.size();
  }

  /** Weight of the answered parts of the current step. */
  double answeredWeight() {
    return answeredWeight;
  }

  /** Weight of the parts of the current step that are answered or in flight. */
  double attainableWeight() {
    double weight = answeredWeight;
    for (PartState part : missing) {
      weight += part.hasAttemptInFlight() ? part.weight() : 0;
    }
    return weight;
  }

  /** Weight of a complete answer to the current step. */
  double requiredWeight() {
    return isFirstStep ? queryClass.completeShare() : 1;
  }

  /** Whether this weight suffices for a partial answer, if the class allows one. */
  boolean reachesMinimum(double weight) {
    return weight >= queryClass.minimumShare() - WEIGHT_TOLERANCE;
  }

  /** Whether this weight makes a complete answer to the current step. */
  boolean reachesComplete(double weight) {
    return weight >= requiredWeight() - WEIGHT_TOLERANCE;
  }

  /** Whether the answered parts make a complete answer to the current step. */
  boolean isStepComplete() {
    return missing.isEmpty() || (isFirstStep && reachesComplete(answeredWeight));
  }

  boolean isAwaitingParts() {
    return phase == QueryPhase.AWAITING_PARTS;
  }

  boolean isFinished() {
    return phase == QueryPhase.FINISHED;
  }

  boolean isFirstStep() {
    return isFirstStep;
  }

  /** Whether a second step follows the current one. */
  boolean hasSecondStepAhead() {
    return isFirstStep && queryClass.secondStepParts() > 0;
  }

  /**
   * Whether the first step was answered completely; true until it ends. Only then can an answer to
   * the second step be complete.
   */
  boolean isFirstStepComplete() {
    return isFirstStepComplete;
  }

  double stepStartedAt() {
    return stepStartedAt;
  }

  /** The latest time at which an answer to the current step has the full payoff. */
  double stepObjective() {
    return stepObjective;
  }

  /** The end of the base wait T* of the current step. */
  double baseWaitEnd() {
    return baseWaitEnd;
  }

  boolean isExtended() {
    return extendedUntil >= 0;
  }

  /** The end of the extended wait of the current step; negative if the wait is not extended. */
  double extendedUntil() {
    return extendedUntil;
  }

  /** The arrivals of the answers to the parts of the current step. */
  StepArrivals arrivals() {
    return arrivals;
  }

  /** Whether a connection that carried a part of the query was reset. */
  boolean hasConnectionReset() {
    return hasConnectionReset;
  }

  /** Whether the query probably crashes the servers that process it. */
  boolean isSuspectedQueryOfDeath() {
    return isSuspectedQueryOfDeath;
  }

  /**
   * Records a connection reset. If a retry is reset and no part has been answered, the query is the
   * likely cause.
   */
  void recordConnectionReset(AttemptState attempt) {
    isSuspectedQueryOfDeath |= attempt.number() > 0 && answeredWeight == 0;
    hasConnectionReset = true;
  }

  /** Adds a part to the current step. */
  void addPart(PartState part) {
    parts.add(part);
    missing.add(part);
  }

  /**
   * Adds the weight of an answered part. Called by the part; a part of an earlier step adds
   * nothing.
   */
  void addAnswered(PartState part) {
    answeredWeight += missing.remove(part) ? part.weight() : 0;
  }

  /** Admits the current step. */
  void admit() {
    phase = QueryPhase.ADMITTED;
  }

  /** Starts to wait for the answers to the parts of the current step. */
  void startStep(double now, double objective) {
    stepStartedAt = now;
    arrivals.start(now);
    stepObjective = objective;
  }

  /** Sets the end of the base wait T* of the current step, which is not extended at first. */
  void setBaseWaitEnd(double time) {
    baseWaitEnd = time;
    extendedUntil = NO_EXTENSION;
  }

  /** Extends the wait of the current step. */
  void extendUntil(double time) {
    extendedUntil = time;
  }

  /** Ends the first step and waits for the parts of the second one. */
  void startSecondStep(boolean firstStepComplete) {
    parts.clear();
    missing.clear();
    answeredWeight = 0;
    nextReviewAt = Double.NEGATIVE_INFINITY;
    arrivals = new StepArrivals();
    isFirstStep = false;
    isFirstStepComplete = firstStepComplete;
    phase = QueryPhase.AWAITING_PARTS;
  }

  void finish() {
    phase = QueryPhase.FINISHED;
  }

  /** Whether all missing parts are due for a review. */
  boolean isReviewDue(double now) {
    return now >= nextReviewAt;
  }

  void reviewAt(double time) {
    nextReviewAt = time;
  }

  /** Makes all missing parts due for a review. */
  QueryState requestReview() {
    nextReviewAt = Double.NEGATIVE_INFINITY;
    return this;
  }

  /** Whether the admission of the query is to be decided again even without capacity. */
  boolean isAdmissionDue(double now) {
    return now >= nextAdmissionAt;
  }

  void decideAdmissionAt(double time) {
    nextAdmissionAt = time;
  }

  /** Schedules an alarm unless an earlier one is set. */
  void scheduleAlarm(double time, Router.Actions out) {
    if (time < alarmAt) {
      alarmAt = time;
      out.scheduleAlarm(time, AlarmTokens.forQuery(id()));
    }
  }

  /** Clears an alarm that was due by {@code latest}, so that another one can be scheduled. */
  void clearAlarm(double latest) {
    if (alarmAt <= latest) {
      alarmAt = Double.POSITIVE_INFINITY;
    }
  }
}
