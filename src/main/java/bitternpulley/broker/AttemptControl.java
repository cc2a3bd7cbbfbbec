package bitternpulley.broker;

import bitternpulley.routing.Router;

/** Starts and cancels attempts and schedules the check of their timeouts. */
final class AttemptControl {
  private final ReductionContext context;

  AttemptControl(ReductionContext context) {
    this.context = context;
  }

  /**
   * Starts an attempt of a part.
   *
   * @param timeout ms after which the attempt is cancelled
   * @param sendBy time in ms by which the first byte of the attempt has to be sent
   */
  void start(PendingPart part, AttemptId id, String server, double timeout, double sendBy) {
    part.startAttempt(new AttemptInFlight(id, server, context.now(), context.now() + timeout));
    context.emit(
        new Effect.StartAttempt(
            id, part.request().request(), part.index(), server, timeout, sendBy));
    scheduleTimeoutCheck(part);
  }

  /**
   * Cancels the attempt in flight of a part unless it was cancelled before.
   *
   * @param outcome outcome of the attempt if {@link Event.AttemptCancelled} arrives before the
   *     attempt ends on its own
   */
  void cancel(PendingPart part, Router.Outcome outcome) {
    AttemptInFlight attempt = part.attemptInFlight();
    if (attempt.cancel(outcome)) {
      context.emit(
          new Effect.CancelAttempt(attempt.id(), part.request().request(), attempt.server()));
    }
  }

  /**
   * Sets the request's timeout alarm for the attempt in flight of a part, unless the alarm is
   * already set for that time or earlier.
   */
  void scheduleTimeoutCheck(PendingPart part) {
    PendingRequest request = part.request();
    AttemptInFlight attempt = part.attemptInFlight();
    if (request.markTimeoutCheckScheduled(attempt.timesOutAt())) {
      context.emit(
          new Effect.ScheduleEvent(
              attempt.timesOutAt(),
              new Event.AttemptTimedOut(attempt.id(), request.firstPart(), request.partCount())));
    }
  }
}
