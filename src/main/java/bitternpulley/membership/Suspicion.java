package bitternpulley.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * How long one suspect may still refute: long while one instance alone suspects it, down to the
 * least as others confirm (Lifeguard's dynamic suspicion). The time is told by whoever asks.
 */
final class Suspicion {
  /**
   * Times the least that a suspicion lasts which nobody confirms, and the confirmations that bring
   * it down to the least.
   */
  private static final double LONGEST = 4;

  private static final int CONFIRMED = 3;

  private final Set<Integer> accusers = new HashSet<>();
  private final double least;
  private final int needed;
  private double since;
  private boolean givenUp;
  private int failures;
  private double lastFailure = Double.NEGATIVE_INFINITY;
  private double failureBefore = Double.NEGATIVE_INFINITY;

  /** A suspicion that lasts {@code least} ms at least, where so many others could confirm it. */
  Suspicion(double since, double least, int others) {
    this.since = since;
    this.least = least;
    this.needed = Math.max(1, Math.min(CONFIRMED, others));
  }

  /** Returns whether this one had not accused before; no more are kept than count. */
  boolean confirmedBy(int accuser) {
    return accusers.size() <= needed && accusers.add(accuser);
  }

  /**
   * One that asked for itself, and hears most others, has given it up: as good as all who could
   * confirm.
   */
  void givenUp() {
    givenUp = true;
  }

  int accusers() {
    return accusers.size();
  }

  /** The suspect was asked once more, from this time on, in vain. */
  void failedAgain(double asked) {
    failures++;
    failureBefore = lastFailure;
    lastFailure = asked;
  }

  /** Whether none of this instance's own probes has failed while it suspected. */
  boolean isHearsay() {
    return failures == 0;
  }

  /** Whether this instance's own probes of it have failed twice, as one alone may be loss. */
  boolean failedTwice() {
    return failures >= 2;
  }

  /** Whether they failed twice when asked after this time. */
  boolean failedTwiceSince(double time) {
    return failedTwice() && failureBefore >= time;
  }

  double since() {
    return since;
  }

  /** The instance did not run for so long: nobody could be heard meanwhile. */
  void postpone(double ms) {
    since += ms;
  }

  /** Ms for which it lasts, by those who confirmed it. */
  double lasts() {
    double share =
        givenUp ? 1 : Math.min(1, Math.log(Math.max(1, accusers.size())) / Math.log(needed + 1));
    return least * (LONGEST - (LONGEST - 1) * share);
  }

  double endsAt() {
    return since + lasts();
  }
}
