package bitternpulley.broker;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;

/**
 * The state of one part of a request: how many attempts it used, and the one in flight. It exists
 * until its request is finished and no attempt is in flight.
 */
final class PendingPart {
  private final PendingRequest request;
  private final int index;
  private int attemptsUsed;

  /** Null while no attempt is in flight. */
  private AttemptInFlight attempt;

  private boolean mayHaveRun;
  private double mayHaveRunSince = Double.POSITIVE_INFINITY;
  private Effect.Answer.MissingPart lastEnd = new Effect.Answer.MissingPart(null, null, null);

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

  /** Puts an attempt in flight; there is never a second one. */
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

  /** The attempt in flight; null where there is none. */
  AttemptInFlight attemptInFlight() {
    return attempt;
  }

  /** Whether an attempt is in flight that was not cancelled. */
  boolean hasActiveAttempt() {
    return attempt != null && !attempt.isCancelled();
  }

  /** Ends the attempt in flight with its outcome and the payload that came with it, or null. */
  void endAttempt(Router.Outcome outcome, Payload payload) {
    if (!outcome.neverRan()) {
      mayHaveRun = true;
      mayHaveRunSince = Math.min(mayHaveRunSince, attempt.sentAt());
    }
    lastEnd = new Effect.Answer.MissingPart(outcome, attempt.server(), payload);
    attempt = null;
  }

  /** Whether a server may have run this part. */
  boolean mayHaveRun() {
    return mayHaveRun || attempt != null;
  }

  /** What an answer without this part reports of it. */
  Effect.Answer.MissingPart asMissing() {
    return attempt == null ? lastEnd : new Effect.Answer.MissingPart(null, attempt.server(), null);
  }

  /**
   * The time by which a further attempt has to be on the wire, in ms. A retry of a keyed class may
   * wait for a connection, and its idempotency window goes on meanwhile.
   */
  double latestSendTime(Settings.QueryClass queryClass) {
    return queryClass.idempotency() == Settings.Idempotency.KEYED
        ? mayHaveRunSince + queryClass.idempotencyWindow()
        : Double.POSITIVE_INFINITY;
  }
}
