package bitternpulley.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * The suspicion of one member: which members accuse it, and how long it has to refute. The duration
 * decreases from the maximum to the minimum as other members confirm the suspicion (Lifeguard's
 * dynamic suspicion timeout). Times are ms of the caller's clock.
 */
final class Suspicion {
  /** Duration of an unconfirmed suspicion, as a multiple of the minimum duration. */
  private static final double MAX_DURATION_FACTOR = 4;

  /** Confirmations that reduce the duration to the minimum. */
  private static final int MAX_CONFIRMATIONS = 3;

  /**
   * Failed probes required to declare a suspect dead; a single failure may be due to message loss.
   */
  private static final int REQUIRED_FAILURES = 2;

  private final Set<Integer> accusers = new HashSet<>();
  private final double minDuration;
  private final int requiredConfirmations;
  private double startedAt;
  private boolean isReportedDead;
  private int failures;
  private double lastFailedProbeSentAt = Double.NEGATIVE_INFINITY;
  private double previousFailedProbeSentAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates a suspicion that begins at {@code startedAt}.
   *
   * @param minDuration minimum duration in ms
   * @param possibleConfirmers number of other members that could confirm it
   */
  Suspicion(double startedAt, double minDuration, int possibleConfirmers) {
    this.startedAt = startedAt;
    this.minDuration = minDuration;
    this.requiredConfirmations = Math.max(1, Math.min(MAX_CONFIRMATIONS, possibleConfirmers));
  }

  /** Records an accuser; returns false if it is already known or no more are needed. */
  boolean confirm(int accuser) {
    return accusers.size() <= requiredConfirmations && accusers.add(accuser);
  }

  /**
   * Records that another instance declared the suspect dead. As that instance has normally probed
   * the suspect itself and hears from a majority, this counts as all required confirmations.
   */
  void recordDeathReport() {
    isReportedDead = true;
  }

  int accuserCount() {
    return accusers.size();
  }

  /** Records that a probe of this instance, sent at {@code sentAt}, failed. */
  void recordProbeFailure(double sentAt) {
    failures++;
    previousFailedProbeSentAt = lastFailedProbeSentAt;
    lastFailedProbeSentAt = sentAt;
  }

  /** Whether the suspicion is based only on reports: no probe of this instance has failed yet. */
  boolean isReportedOnly() {
    return failures == 0;
  }

  /** Whether enough probes of this instance have failed to declare the suspect dead. */
  boolean hasRequiredFailures() {
    return failures >= REQUIRED_FAILURES;
  }

  /** Whether enough probes of this instance that were sent at or after {@code time} have failed. */
  boolean hasRequiredFailuresSince(double time) {
    return hasRequiredFailures() && previousFailedProbeSentAt >= time;
  }

  double startedAt() {
    return startedAt;
  }

  /** Extends the suspicion by a pause of this instance, which could not receive a refutation. */
  void extend(double ms) {
    startedAt += ms;
  }

  /** Duration of the suspicion in ms, given the confirmations so far. */
  double duration() {
    double confirmedFraction =
        isReportedDead
            ? 1
            : Math.min(
                1, Math.log(Math.max(1, accusers.size())) / Math.log(requiredConfirmations + 1));
    return minDuration * (MAX_DURATION_FACTOR - (MAX_DURATION_FACTOR - 1) * confirmedFraction);
  }

  double endsAt() {
    return startedAt + duration();
  }
}
