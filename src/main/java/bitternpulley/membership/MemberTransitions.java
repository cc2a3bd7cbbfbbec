package bitternpulley.membership;

/**
 * Changes the states of members, and for each change updates the table, reports it, and queues it
 * for dissemination.
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

  /** A newer process or incarnation of a member is alive. */
  void renew(Member member, GossipUpdate update, String evidence, double now) {
    boolean isFirstContact = !member.isKnown();
    boolean isNewProcess = update.epoch() != member.epoch();
    member.renew(update);
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

  /** Suspects a live member, or confirms the suspicion of a suspect. */
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

  /** A suspect has answered a probe. */
  void clearSuspicion(Member member, String evidence, double now) {
    resolve(member, MemberState.ALIVE, evidence, now);
    composer.disseminate(member.update());
  }

  /** A member has announced itself that it leaves. */
  void markLeft(Member member, double now) {
    resolve(member, MemberState.LEFT, "its own message", now);
    composer.disseminate(member.update());
  }

  /** A suspect did not refute in time: it is dead, or has left where that was reported. */
  void declareDead(Member member, String evidence, double now) {
    MemberState next = member.isReportedLeaving() ? MemberState.LEFT : MemberState.DEAD;
    resolve(member, next, evidence, now);
    composer.disseminate(member.update(self));
  }

  private void resolve(Member member, MemberState next, String evidence, double now) {
    MemberState before = member.state();
    member.resolve(next, now);
    onStateChanged(member, before, evidence);
  }

  private void onStateChanged(Member member, MemberState before, String evidence) {
    table.onChanged(member);
    outbox.add(
        new MembershipAction.StateChanged(
            member.number(), member.metadata(), before, member.state(), evidence));
  }
}
