package bitternpulley.leases;

import java.util.List;

/**
 * What all members must have alike: how many they are, who the witnesses are, for how many ms a
 * lease lasts; and for how many ms what was decided under a lease may still take effect, which is
 * kept free at its end.
 */
public record LeaseTerms(int members, List<Integer> witnesses, double duration, double effectTime) {
  /** Members that a witness can name in one datagram of 256 bytes. */
  public static final int MAX_MEMBERS = 1500;

  /**
   * Ms that a lease lasts at the least for each member: a witness is asked 40 times a second at the
   * most.
   */
  private static final double LASTS_BY_MEMBER = 100;

  private static final double RENEWALS = 4;

  /** Share by which two clocks may differ in pace, far beyond what any machine's do. */
  private static final double DRIFT = 0.01;

  /** Guards against leases so short that their renewal is most of what a witness does. */
  public LeaseTerms {
    duration = Math.max(duration, LASTS_BY_MEMBER * members);
    witnesses = List.copyOf(witnesses);
  }

  /** Ms between a member's askings. */
  double renewEvery() {
    return duration / RENEWALS;
  }

  /** Ms from asking for which its holder may act under a lease. */
  public double usableTime() {
    return duration / (1 + DRIFT) - effectTime;
  }

  /** Ms for which whoever waits for another's lease to run out waits, by its own clock. */
  double outlasts() {
    return outlasts(duration);
  }

  double outlasts(double ms) {
    return ms * (1 + DRIFT);
  }

  int most() {
    return witnesses.size() / 2 + 1;
  }
}
