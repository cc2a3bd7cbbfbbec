package bitternpulley.broker;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;

/**
 * The state of one part of a request: the number of attempts used, and the attempt in flight. Kept
 * until the request is finished and no attempt is in flight.
 */
final class PendingPart {
  private final PendingRequest request;
  private final int index;
  private int attemptsUsed;

  /** Null while no attempt is in flight. */
  private AttemptInFlight attempt;

  private boolean mayHaveRun;
  private double mayHaveRunSince = Double.POSITIVE_INFINITY;
  private Effect.Answer.MissingPart lastAttemptResult =
      new Effect.Answer.MissingPart(null, null, null);

  PendingPart(PendingRequest request, int index) {
    this.request = request;
    this.index = index;
  }

  PendingRequest request() {
    return request;
  }

  /** The position of the part in its request, from 0. */
  int index() {
    return index;
  }

  /** Uses up one attempt of the part and returns its id. */
  AttemptId nextAttemptId() {
    return new AttemptId(request.firstPart() + index, attemptsUsed++);
  }

  /** Puts an attempt in flight; a part has at most one. */
  void startAttempt(AttemptInFlight started) {
    if (attempt != null) {
      throw new IllegalStateException(
          "Cannot start " + started.id() + " while " + attempt.id() + " is in flight");
    }
    attempt = started;
  }

  boolean hasAttemptInFlight() {
    return attempt != null;
  }

  /** The attempt in flight; null if there is none. */
  AttemptInFlight attemptInFlight() {
    return attempt;
  }

  /** Whether an attempt is in flight and was not cancelled. */
  boolean hasActiveAttempt() {
    return attempt != null && !attempt.isCancelled();
  }

  /** Ends the attempt in flight; {@code payload} came with the outcome and may be null. */
  void endAttempt(Router.Outcome outcome, Payload payload) {
    if (!outcome.neverRan()) {
      mayHaveRun = true;
      mayHaveRunSince = Math.min(mayHaveRunSince, attempt.sentAt());
    }
    lastAttemptResult = new Effect.Answer.MissingPart(outcome, attempt.server(), payload);
    attempt = null;
  }

  /** Whether a server may have run this part. */
  boolean mayHaveRun() {
    return mayHaveRun || attempt != null;
  }

  /** Describes this part for an answer that lacks its value. */
  Effect.Answer.MissingPart toMissingPart() {
    return attempt == null
        ? lastAttemptResult
        : new Effect.Answer.MissingPart(null, attempt.server(), null);
  }

  /**
   * The time in ms by which the first byte of the next attempt has to be sent. A retry of a class
   * with idempotency keys may wait for a connection, and its idempotency window keeps running
   * meanwhile.
   */
  double latestSendTime(Settings.QueryClass queryClass) {
    return queryClass.idempotency() == Settings.Idempotency.KEYED
        ? mayHaveRunSince + queryClass.idempotencyWindow()
        : Double.POSITIVE_INFINITY;
  }
}
