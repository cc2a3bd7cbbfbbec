package bitternpulley.policy;

import bitternpulley.routing.Router;

/** An attempt to have a part answered by one server. */
final class AttemptState {
  /**
   * Number of later parts that the server must answer for an unanswered attempt to count as lost.
   */
  private static final int OVERTAKEN_LIMIT = 8;

  private final PartState part;
  private final TrackedServer server;
  private final int number;
  private final double sentAt;
  private boolean isInFlight = true;
  private boolean isCancelled;
  private boolean isProvenNotRun;
  private boolean isLate;
  private boolean usesNewConnection;
  private boolean isSoleRequest;
  private int overtakenCount;

  AttemptState(PartState part, TrackedServer server, int number, double sentAt) {
    this.part = part;
    this.server = server;
    this.number = number;
    this.sentAt = sentAt;
  }

  PartState part() {
    return part;
  }

  QueryState query() {
    return part.query();
  }

  TrackedServer server() {
    return server;
  }

  /** Index among the attempts of the part, from 0. */
  int number() {
    return number;
  }

  double sentAt() {
    return sentAt;
  }

  boolean isInFlight() {
    return isInFlight;
  }

  /** Whether the outcome proves that the server never started to process the part. */
  boolean isProvenNotRun() {
    return isProvenNotRun;
  }

  /** Whether the attempt was found to be late while it was in flight. */
  boolean isLate() {
    return isLate;
  }

  /** Whether idle connections to the server were closed so that the attempt opened a new one. */
  boolean usesNewConnection() {
    return usesNewConnection;
  }

  /**
   * Whether the attempt was sent to a warm server that is not a slow outlier and had no other
   * attempt of this instance in flight.
   */
  boolean isSoleRequest() {
    return isSoleRequest;
  }

  /** Whether the server has answered so many later parts that the attempt counts as lost. */
  boolean isOvertaken() {
    return overtakenCount >= OVERTAKEN_LIMIT;
  }

  void markNewConnection() {
    usesNewConnection = true;
  }

  void markSoleRequest() {
    isSoleRequest = true;
  }

  void markLate() {
    isLate = true;
  }

  /**
   * Records that a later part was answered; returns whether this makes the attempt count as lost.
   */
  boolean recordOvertaken() {
    overtakenCount++;
    return overtakenCount == OVERTAKEN_LIMIT;
  }

  /** Marks the attempt as cancelled; returns false if it has ended or was cancelled before. */
  boolean cancel() {
    if (!isInFlight || isCancelled) {
      return false;
    }
    isCancelled = true;
    return true;
  }

  /** Ends the attempt. Called by the part, which counts its attempts in flight. */
  void end(Router.Outcome outcome) {
    isInFlight = false;
    isProvenNotRun = outcome.neverRan();
  }
}
