package bitternpulley.broker;

import bitternpulley.routing.Router;

/** An attempt that was sent and has not ended; it counts as in flight while it is cancelled. */
final class AttemptInFlight {
  private final AttemptId id;
  private final String server;
  private final double sentAt;
  private final double timesOutAt;

  /** Null until the attempt is cancelled. */
  private Router.Outcome cancelledAs;

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

  /** When it was sent, in ms. */
  double sentAt() {
    return sentAt;
  }

  /** When it is to be cancelled if it has not ended, in ms. */
  double timesOutAt() {
    return timesOutAt;
  }

  /**
   * Marks the attempt as cancelled.
   *
   * @param outcome what the attempt counts as if its server confirms before it ends by itself
   * @return false where it was cancelled before, which keeps the first outcome
   */
  boolean cancel(Router.Outcome outcome) {
    if (isCancelled()) {
      return false;
    }
    cancelledAs = outcome;
    return true;
  }

  boolean isCancelled() {
    return cancelledAs != null;
  }

  /** The outcome given with the cancellation; null until then. */
  Router.Outcome cancelledAs() {
    return cancelledAs;
  }
}
