package bitternpulley.membership;

/**
 * Changes the states of members. For each change it updates the table, reports the change for the
 * log, and queues it for dissemination.
 */
final class MemberTransitions {
  private final int self;
  private final MembershipSettings settings;
  private final MembershipTable table;
  private final MessageComposer composer;
  private final Outbox outbox;

  MemberTransitions(
      int self,
      MembershipSettings settings,
      MembershipTable table,
      MessageComposer composer,
      Outbox outbox) {
    this.self = self;
    this.settings = settings;
    this.table = table;
    this.composer = composer;
    this.outbox = outbox;
  }

  /** Records that a newer process or incarnation of a member is alive. */
  void adoptNewerVersion(Member member, GossipUpdate update, String evidence, double now) {
    boolean isFirstContact = !member.isKnown();
    boolean isNewProcess = update.epoch() != member.epoch();
    member.adoptNewerVersion(update);
    table.onChanged(member);
    if (isFirstContact) {
      resolve(member, MemberState.ALIVE, "first contact: " + evidence, now);
      composer.disseminateLater(member.update());
      return;
    }
    if (isNewProcess) {
      resolve(member, MemberState.ALIVE, "restarted: " + evidence, now);
    } else if (!member.isAlive()) {
      resolve(member, MemberState.ALIVE, "refuted: " + evidence, now);
    }
    composer.disseminate(member.update());
  }

  /** Suspects a member that is alive, or confirms the suspicion of a suspect. */
  void suspect(Member member, int accuser, String evidence, double now) {
    if (member.isAlive()) {
      Suspicion suspicion =
          new Suspicion(
              now,
              settings.suspicionIntervals() * settings.interval(),
              table.activeCount() - 2); // neither this instance nor the suspect can confirm it
      member.suspect(suspicion, now);
      onStateChanged(member, MemberState.ALIVE, evidence);
    }
    if (member.isSuspect() && member.suspicion().confirm(accuser)) {
      composer.disseminate(member.update(accuser));
    }
  }

  /** Makes a suspect that has answered a probe alive again. */
  void clearSuspicion(Member member, String evidence, double now) {
    resolve(member, MemberState.ALIVE, evidence, now);
    composer.disseminate(member.update());
  }

  /** Records that a member itself has announced that it is leaving. */
  void markLeft(Member member, double now) {
    resolve(member, MemberState.LEFT, "its own message", now);
    composer.disseminate(member.update());
  }

  /** Makes a suspect that did not refute in time dead, or left if it was reported as leaving. */
  void declareDead(Member member, String evidence, double now) {
    MemberState newState = member.isReportedLeaving() ? MemberState.LEFT : MemberState.DEAD;
    resolve(member, newState, evidence, now);
    composer.disseminate(member.update(self));
  }

  private void resolve(Member member, MemberState newState, String evidence, double now) {
    MemberState previousState = member.state();
    member.resolve(newState, now);
    onStateChanged(member, previousState, evidence);
  }

  private void onStateChanged(Member member, MemberState previousState, String evidence) {
    table.onChanged(member);
    outbox.add(
        new MembershipAction.StateChanged(
            member.number(), member.metadata(), previousState, member.state(), evidence));
  }
}
