package bitternpulley.broker;

import bitternpulley.routing.Router;

/**
 * An attempt that was sent and has not ended. A cancelled attempt stays in flight until its
 * cancellation is done.
 */
final class AttemptInFlight {
  private final AttemptId id;
  private final String server;
  private final double sentAt;
  private final double timesOutAt;

  /** Null until the attempt is cancelled. */
  private Router.Outcome cancellationOutcome;

  AttemptInFlight(AttemptId id, String server, double sentAt, double timesOutAt) {
    this.id = id;
    this.server = server;
    this.sentAt = sentAt;
    this.timesOutAt = timesOutAt;
  }

  AttemptId id() {
    return id;
  }

  String server() {
    return server;
  }

  /** Time at which the attempt was sent, in ms. */
  double sentAt() {
    return sentAt;
  }

  /** Time at which the attempt is to be cancelled if it has not ended, in ms. */
  double timesOutAt() {
    return timesOutAt;
  }

  /**
   * Marks the attempt as cancelled.
   *
   * @param outcome outcome of the attempt if {@link Event.AttemptCancelled} arrives before the
   *     attempt ends on its own
   * @return false if the attempt was cancelled before; the first outcome is kept
   */
  boolean cancel(Router.Outcome outcome) {
    if (isCancelled()) {
      return false;
    }
    cancellationOutcome = outcome;
    return true;
  }

  boolean isCancelled() {
    return cancellationOutcome != null;
  }

  /** The outcome given with the cancellation; null if the attempt was not cancelled. */
  Router.Outcome cancellationOutcome() {
    return cancellationOutcome;
  }
}
