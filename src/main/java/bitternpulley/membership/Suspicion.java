package bitternpulley.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * The suspicion of one member: who accuses it, and how long it may refute. Its duration falls from
 * the longest to the least as others confirm it (Lifeguard's dynamic suspicion time-out). Times are
 * ms of the caller's clock.
 */
final class Suspicion {
  /** Duration of a suspicion that nobody confirms, relative to the least. */
  private static final double MAX_DURATION_FACTOR = 4;

  /** Confirmations that reduce the duration to the least. */
  private static final int MAX_CONFIRMATIONS = 3;

  /** Failed probes that count as proof; a single one may be message loss. */
  private static final int REQUIRED_FAILURES = 2;

  private final Set<Integer> accusers = new HashSet<>();
  private final double minDuration;
  private final int requiredConfirmations;
  private double startedAt;
  private boolean isDeadElsewhere;
  private int failures;
  private double lastFailure = Double.NEGATIVE_INFINITY;
  private double previousFailure = Double.NEGATIVE_INFINITY;

  /**
   * A suspicion that begins now.
   *
   * @param minDuration least duration in ms
   * @param possibleConfirmers number of other members that could confirm it
   */
  Suspicion(double startedAt, double minDuration, int possibleConfirmers) {
    this.startedAt = startedAt;
    this.minDuration = minDuration;
    this.requiredConfirmations = Math.max(1, Math.min(MAX_CONFIRMATIONS, possibleConfirmers));
  }

  /** Records an accuser; false if it is known or no more are needed. */
  boolean confirm(int accuser) {
    return accusers.size() <= requiredConfirmations && accusers.add(accuser);
  }

  /**
   * Another instance, which probed the suspect itself and hears from a majority, declared it dead:
   * this counts as all confirmations.
   */
  void recordDeathReport() {
    isDeadElsewhere = true;
  }

  int accuserCount() {
    return accusers.size();
  }

  /** Records that a probe of this instance, sent at that time, failed. */
  void recordProbeFailure(double sentAt) {
    failures++;
    previousFailure = lastFailure;
    lastFailure = sentAt;
  }

  /** Whether it rests on reports alone: no probe of this instance has failed yet. */
  boolean isReportedOnly() {
    return failures == 0;
  }

  /** Whether two probes of this instance have failed. */
  boolean hasFailedTwice() {
    return failures >= REQUIRED_FAILURES;
  }

  /** Whether two probes of this instance that were sent at or after this time have failed. */
  boolean hasFailedTwiceSince(double time) {
    return hasFailedTwice() && previousFailure >= time;
  }

  double startedAt() {
    return startedAt;
  }

  /** Extends it by a time in which this instance did not run and could not receive a refutation. */
  void postpone(double ms) {
    startedAt += ms;
  }

  /** Its duration in ms, given the confirmations so far. */
  double duration() {
    double confirmedShare =
        isDeadElsewhere
            ? 1
            : Math.min(
                1, Math.log(Math.max(1, accusers.size())) / Math.log(requiredConfirmations + 1));
    return minDuration * (MAX_DURATION_FACTOR - (MAX_DURATION_FACTOR - 1) * confirmedShare);
  }

  double endsAt() {
    return startedAt + duration();
  }
}
