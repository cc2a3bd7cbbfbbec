package bitternpulley.membership;

import java.util.List;

/**
 * Decides when a suspect is dead: only once this instance's own probes have failed twice, it hears
 * from a majority, and it was not paused just before.
 */
final class FailureDetector {
  /** Intervals after a pause without verdicts. */
  private static final double RESUME_INTERVALS = 3;

  /** Intervals within which a majority must have given evidence that it runs. */
  private static final double MAJORITY_INTERVALS = 6;

  /** Intervals for which a suspect whose messages arrive, though it does not answer, is kept. */
  static final double SENDING_INTERVALS = 6;

  private static final double NEVER = Double.POSITIVE_INFINITY;

  private final MembershipSettings settings;
  private final MembershipTable table;
  private final LocalHealth localHealth;
  private final IsolationMonitor isolation;
  private final MemberTransitions transitions;
  private final CheckQueue checks;

  /** Since when a majority has been responsive while there are suspects. */
  private double majoritySince = NEVER;

  private double withholdUntil;

  FailureDetector(
      MembershipSettings settings,
      MembershipTable table,
      LocalHealth localHealth,
      IsolationMonitor isolation,
      MemberTransitions transitions,
      CheckQueue checks) {
    this.settings = settings;
    this.table = table;
    this.localHealth = localHealth;
    this.isolation = isolation;
    this.transitions = transitions;
    this.checks = checks;
  }

  /** This instance resumed after a pause, and needs time to receive refutations. */
  void withholdVerdicts(double now) {
    withholdUntil = now + RESUME_INTERVALS * settings.interval();
  }

  /** Decides about all suspects. */
  void evaluate(double now) {
    List<Member> suspects = table.suspects();
    updateMajority(suspects, now);
    suspects.forEach(suspect -> evaluate(suspect, now));
  }

  private void updateMajority(List<Member> suspects, double now) {
    if (suspects.isEmpty()
        || !table.hasMajoritySince(now - MAJORITY_INTERVALS * settings.interval())) {
      majoritySince = NEVER;
    } else if (majoritySince == NEVER) {
      majoritySince = now;
    }
  }

  private void evaluate(Member suspect, double now) {
    Suspicion suspicion = suspect.suspicion();
    if (now < suspicion.endsAt() || now < withholdUntil) {
      return;
    }
    if (!suspicion.hasFailedTwice() && isolation.hasContact(now)) {
      checks.request(suspect);
      return;
    }
    if (isStillSending(suspect, now)) {
      return;
    }
    if (now >= suspicion.startedAt() + settings.withoutMajorityAfter()) {
      declareDead(suspect, now);
    } else if (!suspicion.hasFailedTwiceSince(majoritySince)) {
      checks.request(suspect);
    } else if (now >= suspicion.endsAt() + extension(suspicion)) {
      declareDead(suspect, now);
    }
  }

  /** Whether the suspect has sent messages during its suspicion: it runs but does not receive. */
  private boolean isStillSending(Member suspect, double now) {
    double window = SENDING_INTERVALS * settings.interval() * localHealth.suspicionFactor();
    return suspect.lastMessageAt() > suspect.suspicion().startedAt()
        && suspect.lastMessageAt() >= now - window
        && !suspect.isReportedLeaving();
  }

  /** Additional ms for the suspect while this instance doubts its own health. */
  private double extension(Suspicion suspicion) {
    return suspicion.duration() * (localHealth.suspicionFactor() - 1);
  }

  private void declareDead(Member suspect, double now) {
    transitions.declareDead(
        suspect,
        "silent for "
            + Math.round(now - suspect.lastEvidenceAt())
            + " ms, "
            + suspect.suspicion().accuserCount()
            + " accusers"
            + (majoritySince == NEVER ? ", without a majority" : ""),
        now);
  }
}
