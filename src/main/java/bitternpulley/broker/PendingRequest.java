package bitternpulley.broker;

import bitternpulley.contracts.UsageCharge;
import java.util.Map;
import java.util.TreeMap;

/** The state of a request without a final answer. All times are in ms. */
final class PendingRequest {
  /**
   * A request that ends without an answer within this time before its deadline counts as timed out.
   */
  private static final double TIMEOUT_MARGIN_MS = 100;

  /**
   * Upper limit of the margin as a share of the client's timeout, since some clients wait for less.
   */
  private static final double MAX_TIMEOUT_MARGIN_SHARE = 0.25;

  private final Request request;

  /** Null if no contracts are in force. */
  private final UsageCharge charge;

  private final long firstPart;
  private final double deadline;
  private final double timedOutFrom;
  private final TreeMap<Integer, Payload> values = new TreeMap<>();
  private boolean deadlineScheduled;
  private double nextTimeoutCheck = Double.POSITIVE_INFINITY;

  /**
   * Creates the state of a request that arrived at {@code now}.
   *
   * @param charge the charge under the request's contract; null if no contracts are in force
   * @param firstPart the id of its first part; the other parts have the ids that follow
   * @param timeLeft how long the client waits; the time that the request was unread is subtracted
   */
  PendingRequest(Request request, UsageCharge charge, long firstPart, double timeLeft, double now) {
    this.request = request;
    this.charge = charge;
    this.firstPart = firstPart;
    this.deadline = now + timeLeft - request.lateness().unreadFor();
    double margin = Math.min(TIMEOUT_MARGIN_MS, MAX_TIMEOUT_MARGIN_SHARE * timeLeft);
    this.timedOutFrom = now + request.lateness().timeLeft(timeLeft, margin);
  }

  long id() {
    return request.id();
  }

  Request request() {
    return request;
  }

  /** The charge under the request's contract; null if no contracts are in force. */
  UsageCharge charge() {
    return charge;
  }

  /**
   * The id of the first part; the other parts have the ids that follow, in their order in the
   * request.
   */
  long firstPart() {
    return firstPart;
  }

  int partCount() {
    return request.parts().size();
  }

  /** Time at which the client stops waiting. */
  double deadline() {
    return deadline;
  }

  /** Whether the request counts as timed out if it ends at {@code now} without an answer. */
  boolean isTimedOut(double now) {
    return now >= timedOutFrom;
  }

  /** Whether the value of a part has arrived. */
  boolean hasValue(int index) {
    return values.containsKey(index);
  }

  /** Records the value of a part and returns whether the part had none before. */
  boolean recordValue(int index, Payload value) {
    return values.put(index, value) == null;
  }

  /** The values that have arrived, by position of their parts. */
  Map<Integer, Payload> values() {
    return new TreeMap<>(values);
  }

  /** Number of parts without a value. */
  int missingParts() {
    return partCount() - values.size();
  }

  /** Records that an alarm at the deadline is set; returns false if one was set before. */
  boolean markDeadlineScheduled() {
    boolean first = !deadlineScheduled;
    deadlineScheduled = true;
    return first;
  }

  /**
   * Records that an alarm for attempt timeouts is set; returns false if one is already set for that
   * time or earlier.
   */
  boolean markTimeoutCheckScheduled(double time) {
    if (time >= nextTimeoutCheck) {
      return false;
    }
    nextTimeoutCheck = time;
    return true;
  }

  /** Records that the alarm for attempt timeouts fired. */
  void clearTimeoutCheck() {
    nextTimeoutCheck = Double.POSITIVE_INFINITY;
  }
}
