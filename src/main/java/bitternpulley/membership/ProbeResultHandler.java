package bitternpulley.membership;

/** Updates the states of members according to the results of this instance's own probes. */
final class ProbeResultHandler implements ProbeListener {
  private final int self;
  private final MemberTransitions transitions;
  private final CheckQueue checks;

  ProbeResultHandler(int self, MemberTransitions transitions, CheckQueue checks) {
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
      transitions.suspect(target, self, "no ack received directly or through relays", now);
    }
    // To declare the target dead at the end of the suspicion, a second failure is needed by then.
    if (target.isSuspect() && !target.suspicion().hasRequiredFailures()) {
      checks.request(target);
    }
  }

  @Override
  public void onProbeAnswered(Member target, int ackSender, double now) {
    // An immediate check distinguishes a cut direct path from the loss of a single message.
    if (target.isReachedIndirectly() && !target.isUnreachableDirectly()) {
      checks.request(target);
    }
    if (target.isSuspect()) {
      transitions.clearSuspicion(target, "ack from member " + ackSender, now);
    }
  }
}
