package bitternpulley.policy;

import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides when the wait for the parts of a query ends, after the model of optimal wait time in
 * utility-theoretic distributed retrieval. Each step of a query has
 *
 * <ul>
 *   <li>a base wait T*: the recorded arrival time with the best mean payoff over the past steps of
 *       the query class;
 *   <li>an early end, if the heaviest parts have been answered and each missing part is expected
 *       only after T*;
 *   <li>an extension, if one of the heaviest parts is missing at T*: the wait is prolonged to a
 *       percentile of the waits that would have been best for the past steps.
 * </ul>
 *
 * <p>The payoff of an answer is the payoff of its weight times the payoff of its time. The latter
 * is full up to the latency objective.
 */
final class WaitTimePolicy {
  /** The share s of a step's parts, heaviest first, that must be answered for an early end. */
  private static final double EARLY_END_SHARE = 0.75;

  /**
   * The share t of a step's parts, heaviest first, that must be answered at T*; if one of them is
   * missing, the wait is extended.
   */
  private static final double EXTENSION_SHARE = 0.5;

  /** The percentile u of the best waits of past steps to which the wait is extended. */
  private static final double EXTENSION_PERCENTILE = 0.9;

  /** Largest number of steps in the arrival record of a query class. */
  private static final int RECORD_STEPS = 60;

  /** Age in ms up to which a step stays in the record. */
  private static final double RECORD_AGE_MS = 60_000;

  /** Number of steps below which a record counts as empty. */
  private static final int MINIMUM_RECORD_STEPS = 20;

  /**
   * Share of the time to the objective that is recorded as the arrival time of an unanswered part.
   */
  private static final double CENSORED_SHARE = 0.9;

  /** Multiple of the baseline latency reserved for the second step of a query. */
  private static final double SECOND_STEP_MULTIPLE = 3;

  /** The records of one query class. Arrivals in first steps differ from those in second steps. */
  private record ClassRecords(ArrivalRecord firstStep, ArrivalRecord secondStep) {
    static ClassRecords empty() {
      return new ClassRecords(
          new ArrivalRecord(RECORD_STEPS, RECORD_AGE_MS),
          new ArrivalRecord(RECORD_STEPS, RECORD_AGE_MS));
    }
  }

  private final LatencyTracker latencies;
  private final RetryPolicy retries;
  private final List<ClassRecords> records = new ArrayList<>();

  WaitTimePolicy(Settings settings, LatencyTracker latencies, RetryPolicy retries) {
    this.latencies = latencies;
    this.retries = retries;
    settings.classes().forEach(queryClass -> records.add(ClassRecords.empty()));
  }

  /** Starts the current step of a query and sets its base wait T*. */
  void startStep(QueryState query, double now) {
    double reserved = query.hasSecondStepAhead() ? SECOND_STEP_MULTIPLE * latencies.baseline() : 0;
    query.startStep(now, Math.max(query.objectiveDeadline() - reserved, now));
    query.setBaseWaitEnd(query.stepStartedAt() + baseWait(query, now));
  }

  private double baseWait(QueryState query, double now) {
    double untilObjective = query.stepObjective() - query.stepStartedAt();
    ArrivalRecord record = recordOf(query);
    if (!record.hasEnoughSteps(now, MINIMUM_RECORD_STEPS)) {
      return untilObjective;
    }
    double best =
        record.bestWait(wait -> timePayoff(query, wait), weight -> weightPayoff(query, weight));
    return query.queryClass().latePriorityWeight() > 0 ? best : Math.min(best, untilObjective);
  }

  /**
   * The share of the payoff that remains for an answer after this wait: 1 up to the objective, the
   * late priority weight of the class up to the answer deadline, and 0 after that.
   */
  private static double timePayoff(QueryState query, double wait) {
    double time = query.stepStartedAt() + wait;
    if (time <= query.stepObjective()) {
      return 1;
    }
    return time <= query.answerDeadline() ? query.queryClass().latePriorityWeight() : 0;
  }

  /** The payoff of an answer of this weight, as a share of the payoff of a complete answer. */
  private static double weightPayoff(QueryState query, double weight) {
    if (query.reachesComplete(weight)) {
      return 1;
    }
    return query.reachesMinimum(weight)
        ? query.queryClass().partialPriorityWeight() * weight / query.requiredWeight()
        : 0;
  }

  /** Whether the wait for the missing parts of a query is over. */
  boolean isWaitOver(QueryState query, double now) {
    return now >= waitEnd(query, now) || endsEarly(query, now);
  }

  /**
   * The end of the base wait T*, or of the extension while any of the heaviest parts is missing.
   */
  private double waitEnd(QueryState query, double now) {
    if (now < query.baseWaitEnd() || heaviestAreAnswered(query, EXTENSION_SHARE)) {
      return query.baseWaitEnd();
    }
    if (!query.isExtended()) {
      double extension = extension(query, now);
      query.extendUntil(Math.min(query.stepStartedAt() + extension, query.answerDeadline()));
    }
    // Waiting past the objective does not pay if a late complete answer is worth less than an
    // answer from the parts answered so far.
    boolean mayBeLate =
        weightPayoff(query, query.answeredWeight()) < query.queryClass().latePriorityWeight();
    double extendedUntil =
        mayBeLate ? query.extendedUntil() : Math.min(query.extendedUntil(), query.stepObjective());
    return Math.max(query.baseWaitEnd(), extendedUntil);
  }

  /**
   * The extended wait in ms. Without a record, it ends halfway from the objective to the answer
   * deadline.
   */
  private double extension(QueryState query, double now) {
    ArrivalRecord record = recordOf(query);
    if (!record.hasEnoughSteps(now, MINIMUM_RECORD_STEPS)) {
      return query.stepObjective()
          + (query.answerDeadline() - query.stepObjective()) / 2
          - query.stepStartedAt();
    }
    double[] bestWaits =
        record.bestWaitsOfSteps(
            wait -> timePayoff(query, wait), weight -> weightPayoff(query, weight));
    return ArrivalRecord.percentile(bestWaits, EXTENSION_PERCENTILE);
  }

  /** Whether the heaviest parts are answered and each missing part is expected only after T*. */
  private boolean endsEarly(QueryState query, double now) {
    for (PartState part : query.missing()) {
      if (expectedAt(part, now) <= query.baseWaitEnd()) {
        return false;
      }
    }
    return heaviestAreAnswered(query, EARLY_END_SHARE);
  }

  /**
   * Whether this share of the parts, heaviest first, has been answered. Of parts with equal
   * weights, those expected first come first.
   */
  private static boolean heaviestAreAnswered(QueryState query, double share) {
    return query.parts().stream()
        .sorted(
            Comparator.<PartState>comparingDouble(part -> -part.weight())
                .thenComparingDouble(PartState::expectedAt))
        .limit((int) Math.ceil(share * query.parts().size()))
        .allMatch(PartState::isSettled);
  }

  /** When the answer to a missing part is expected; an overdue answer may arrive at any moment. */
  private double expectedAt(PartState part, double now) {
    double earliest = Double.POSITIVE_INFINITY;
    for (AttemptState attempt : part.attempts()) {
      if (attempt.isInFlight()) {
        double expected = attempt.sentAt() + latencies.expectedLatencyOf(attempt.server(), now);
        earliest = Math.min(earliest, Math.max(now, expected));
      }
    }
    if (part.hasAttemptInFlight()) {
      return earliest;
    }
    return retries.isUnattainable(part, now)
        ? Double.POSITIVE_INFINITY
        : now + latencies.baseline();
  }

  /** Records the current step of a query that is answered completely or given up. */
  void recordStep(QueryState query) {
    recordOf(query).add(query.arrivals());
  }

  /**
   * Records the current step of a query that is answered in part. A part without an answer is a
   * censored observation: it is recorded as if it were answered shortly before the objective. If it
   * were left out, short waits would cut off parts, and the record without these parts would
   * shorten the waits further.
   */
  void recordPartialStep(QueryState query, double now) {
    double untilObjective = query.stepObjective() - query.stepStartedAt();
    double censoredAt = query.stepStartedAt() + CENSORED_SHARE * untilObjective;
    for (PartState part : query.parts()) {
      if (!part.isSettled()) {
        part.recordCensored(Math.max(now, censoredAt));
      }
    }
    recordStep(query);
  }

  private ArrivalRecord recordOf(QueryState query) {
    ClassRecords classRecords = records.get(query.query().queryClass());
    return query.isFirstStep() ? classRecords.firstStep : classRecords.secondStep;
  }
}
