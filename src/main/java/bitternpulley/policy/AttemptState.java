package bitternpulley.policy;

import bitternpulley.routing.Router;

/** One attempt of a part at one server. */
final class AttemptState {
  /** Answers to later parts of the same server after which an attempt counts as lost there. */
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

  /** Position among the attempts of its part, from 0. */
  int number() {
    return number;
  }

  double sentAt() {
    return sentAt;
  }

  boolean isInFlight() {
    return isInFlight;
  }

  /** Whether its outcome proves that the server never began the part. */
  boolean isProvenNotRun() {
    return isProvenNotRun;
  }

  /** Whether it was found late while in flight. */
  boolean isLate() {
    return isLate;
  }

  /** Whether idle connections were closed for it, so that it opened a new one. */
  boolean usesNewConnection() {
    return usesNewConnection;
  }

  /** Whether it was sent to a warm server that is no slow outlier and had nothing else of ours. */
  boolean isSoleRequest() {
    return isSoleRequest;
  }

  /** Whether enough later parts of the same server were answered for it to count as lost. */
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

  /** Records the answer to a later part; returns whether the attempt counts as lost from now on. */
  boolean recordOvertaken() {
    overtakenCount++;
    return overtakenCount == OVERTAKEN_LIMIT;
  }

  /** Marks an attempt in flight as cancelled; returns whether it was not cancelled before. */
  boolean cancel() {
    if (!isInFlight || isCancelled) {
      return false;
    }
    isCancelled = true;
    return true;
  }

  /** Ends the attempt; called by its part, which counts the attempts in flight. */
  void end(Router.Outcome outcome) {
    isInFlight = false;
    isProvenNotRun = outcome.neverRan();
  }
}
