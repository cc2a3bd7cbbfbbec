package bitternpulley.membership;

/** Updates members' states by the results of this instance's own probes. */
final class ProbeResults implements ProbeListener {
  private final int self;
  private final MemberTransitions transitions;
  private final CheckQueue checks;

  ProbeResults(int self, MemberTransitions transitions, CheckQueue checks) {
    this.self = self;
    this.transitions = transitions;
    this.checks = checks;
  }

  @Override
  public void onProbeFailed(Member target, double sentAt, double now) {
    if (target.isSuspect()) {
      target.suspicion().recordProbeFailure(sentAt);
    }
    if (target.isActive()) {
      transitions.suspect(target, self, "no ack, direct or through relays", now);
    }
    // A second failure is needed for a verdict by the end of the suspicion.
    if (target.isSuspect() && !target.suspicion().hasFailedTwice()) {
      checks.request(target);
    }
  }

  @Override
  public void onProbeAnswered(Member target, int ackSender, double now) {
    // Whether the direct path is cut or only lost one message shows at once.
    if (target.isReachedIndirectly() && !target.isUnreachableDirectly()) {
      checks.request(target);
    }
    if (target.isSuspect()) {
      transitions.clearSuspicion(target, "ack from member " + ackSender, now);
    }
  }
}
