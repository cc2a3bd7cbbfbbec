package bitternpulley.broker;

import bitternpulley.routing.Router;

/** Starts and cancels attempts and schedules the check of their timeouts. */
final class AttemptControl {
  private final ReductionContext context;

  AttemptControl(ReductionContext context) {
    this.context = context;
  }

  /**
   * Puts an attempt of a part in flight.
   *
   * @param timeout ms after which it is cancelled
   * @param sendBy time by which it has to be on the wire, in ms
   */
  void start(PendingPart part, AttemptId id, String server, double timeout, double sendBy) {
    part.startAttempt(new AttemptInFlight(id, server, context.now(), context.now() + timeout));
    context.emit(
        new Effect.StartAttempt(
            id, part.request().request(), part.index(), server, timeout, sendBy));
    scheduleTimeoutCheck(part);
  }

  /**
   * Cancels the attempt in flight of a part, once.
   *
   * @param outcome what it counts as if the server confirms before the attempt ends by itself
   */
  void cancel(PendingPart part, Router.Outcome outcome) {
    AttemptInFlight attempt = part.attemptInFlight();
    if (attempt.cancel(outcome)) {
      context.emit(
          new Effect.CancelAttempt(attempt.id(), part.request().request(), attempt.server()));
    }
  }

  /** Sets the alarm for the attempt in flight of a part unless an earlier one is set. */
  void scheduleTimeoutCheck(PendingPart part) {
    PendingRequest request = part.request();
    AttemptInFlight attempt = part.attemptInFlight();
    if (request.markTimeoutCheckScheduled(attempt.timesOutAt())) {
      context.emit(
          new Effect.WakeAt(
              attempt.timesOutAt(),
              new Event.AttemptTimedOut(attempt.id(), request.firstPart(), request.partCount())));
    }
  }
}
