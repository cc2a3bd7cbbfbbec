package bitternpulley.broker;

import bitternpulley.contracts.UsageCharge;
import java.util.Map;
import java.util.TreeMap;

/** The state of a request without a final answer. All times are in ms. */
final class PendingRequest {
  /** How long before the client's deadline an end without an answer counts as timed out. */
  private static final double TIMEOUT_MARGIN_MS = 100;

  /** The largest share of the client's time that the margin takes, since some wait for less. */
  private static final double MAX_TIMEOUT_MARGIN_SHARE = 0.25;

  private final Request request;

  /** Null where no contracts are in force. */
  private final UsageCharge charge;

  private final long firstPart;
  private final double deadline;
  private final double timedOutFrom;
  private final TreeMap<Integer, Payload> values = new TreeMap<>();
  private boolean deadlineScheduled;
  private double nextTimeoutCheck = Double.POSITIVE_INFINITY;

  /**
   * Begins a request.
   *
   * @param charge the charge under the request's contract; null where none is in force
   * @param firstPart the id of its first part; the others follow
   * @param timeLeft how long its client waits from now on
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

  /** The charge under the request's contract; null where no contracts are in force. */
  UsageCharge charge() {
    return charge;
  }

  /** The id of the first part; the others follow in the order of the request. */
  long firstPart() {
    return firstPart;
  }

  int partCount() {
    return request.parts().size();
  }

  /** When the client stops waiting. */
  double deadline() {
    return deadline;
  }

  /** Whether an end without an answer counts as timed out by now. */
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

  /** Parts whose value has not arrived. */
  int missingParts() {
    return partCount() - values.size();
  }

  /** Notes that an alarm at the deadline is set; false where one was set before. */
  boolean markDeadlineScheduled() {
    boolean first = !deadlineScheduled;
    deadlineScheduled = true;
    return first;
  }

  /** Notes that an alarm for attempt timeouts is set; false where an earlier one is due anyway. */
  boolean markTimeoutCheckScheduled(double at) {
    if (at >= nextTimeoutCheck) {
      return false;
    }
    nextTimeoutCheck = at;
    return true;
  }

  /** Notes that the alarm for attempt timeouts fired. */
  void clearTimeoutCheck() {
    nextTimeoutCheck = Double.POSITIVE_INFINITY;
  }
}
