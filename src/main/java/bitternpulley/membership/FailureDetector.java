package bitternpulley.membership;

import java.util.List;

/**
 * Decides when to declare a suspect dead: after two of this instance's own probes have failed,
 * while this instance hears from a majority, and not shortly after this instance was paused. Once
 * the suspicion has lasted for {@link MembershipSettings#majorityTimeout}, a majority is no longer
 * required; nor are failed probes if this instance has received no message at all for that time.
 */
final class FailureDetector {
  /** Intervals after a pause during which no member is declared dead. */
  private static final double RESUME_INTERVALS = 3;

  /** Intervals within which a majority of the members must have given evidence that they run. */
  private static final double MAJORITY_INTERVALS = 6;

  /**
   * Intervals since its last message during which a member counts as still sending. A suspect that
   * is still sending is not declared dead, even if it does not answer probes.
   */
  static final double SENDING_INTERVALS = 6;

  private static final double NEVER = Double.POSITIVE_INFINITY;

  private final MembershipSettings settings;
  private final MembershipTable table;
  private final LocalHealth localHealth;
  private final IsolationMonitor isolation;
  private final MemberTransitions transitions;
  private final CheckQueue checks;

  /**
   * When a majority of the members became responsive; {@link #NEVER} if no majority is responsive
   * or no member is suspect.
   */
  private double majoritySince = NEVER;

  private double declarationsPostponedUntil;

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

  /** Declares no member dead for some intervals after a pause, so that refutations can arrive. */
  void postponeDeclarations(double now) {
    declarationsPostponedUntil = now + RESUME_INTERVALS * settings.interval();
  }

  /** Decides for each suspect whether it is dead. */
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
    if (now < suspicion.endsAt() || now < declarationsPostponedUntil) {
      return;
    }
    if (!suspicion.hasRequiredFailures() && isolation.hasRecentMessage(now)) {
      checks.request(suspect);
      return;
    }
    if (isStillSending(suspect, now)) {
      return;
    }
    if (now >= suspicion.startedAt() + settings.majorityTimeout()) {
      declareDead(suspect, now);
    } else if (!suspicion.hasRequiredFailuresSince(majoritySince)) {
      checks.request(suspect);
    } else if (now >= suspicion.endsAt() + extension(suspicion)) {
      declareDead(suspect, now);
    }
  }

  /**
   * Whether the suspect sent messages recently and during its suspicion: it runs but does not
   * receive.
   */
  private boolean isStillSending(Member suspect, double now) {
    double window = SENDING_INTERVALS * settings.interval() * localHealth.suspicionFactor();
    return suspect.lastMessageAt() > suspect.suspicion().startedAt()
        && suspect.lastMessageAt() >= now - window
        && !suspect.isReportedLeaving();
  }

  /** Additional ms for the suspect to refute while this instance's own health is poor. */
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
