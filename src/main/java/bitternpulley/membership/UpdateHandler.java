package bitternpulley.membership;

/**
 * Applies the updates that messages carry. A report from another member never makes a member dead:
 * an accusation at most makes the member suspect and causes a check by this instance.
 */
final class UpdateHandler {
  private final LocalMember local;
  private final MembershipSettings settings;
  private final MembershipTable table;
  private final LocalHealth localHealth;
  private final MessageComposer composer;
  private final Outbox outbox;
  private final MemberTransitions transitions;
  private final CheckQueue checks;

  UpdateHandler(
      LocalMember local,
      MembershipSettings settings,
      MembershipTable table,
      LocalHealth localHealth,
      MessageComposer composer,
      Outbox outbox,
      MemberTransitions transitions,
      CheckQueue checks) {
    this.local = local;
    this.settings = settings;
    this.table = table;
    this.localHealth = localHealth;
    this.composer = composer;
    this.outbox = outbox;
    this.transitions = transitions;
    this.checks = checks;
  }

  /** Applies an update from {@code reporter}; false if implausible or about an unknown member. */
  boolean apply(GossipUpdate update, Member reporter, double now) {
    if (!GossipLimits.isPlausible(update.epoch(), update.incarnation(), now)) {
      return false;
    }
    if (update.number() == local.number()) {
      applyToLocal(update);
      return true;
    }
    Member member = table.find(update.number());
    if (member == null) {
      return false;
    }
    applyPayload(member, update);
    applyState(member, update, reporter, now);
    return true;
  }

  private void applyToLocal(GossipUpdate update) {
    if (local.correctPayload(update)) {
      composer.disseminatePayload(local.payloadUpdate());
    }
    if (local.refute(update)) {
      localHealth.recordRefutation();
      composer.disseminate(local.update());
    }
  }

  private void applyPayload(Member member, GossipUpdate update) {
    if (member.learnPayload(update)) {
      table.onChanged(member);
      composer.disseminatePayload(member.payloadUpdate());
      outbox.add(
          new MembershipAction.PayloadReceived(
              member.number(), member.epoch(), ReachabilityReport.of(member.payload())));
    }
  }

  private void applyState(Member member, GossipUpdate update, Member reporter, double now) {
    if (member == reporter && update.state() == MemberState.LEFT) {
      applyOwnLeave(member, update, now);
    } else if (update.state() == MemberState.ALIVE) {
      applyAlive(member, update, reporter.number(), now);
    } else if (member.isActive()) {
      applyAccusation(member, update, now);
    }
  }

  private void applyOwnLeave(Member member, GossipUpdate update, double now) {
    if (member.isActive() && update.epoch() == member.epoch()) {
      transitions.markLeft(member, now);
    }
  }

  private void applyAlive(Member member, GossipUpdate update, int reporter, double now) {
    applyMetadata(member, update, reporter);
    if (!update.isNewerThan(member.epoch(), member.incarnation())) {
      return;
    }
    if (member.confirmEpoch(update.epoch(), reporter)) {
      transitions.adoptNewerVersion(member, update, "reported by member " + reporter, now);
    } else {
      checks.request(member);
    }
  }

  private void applyMetadata(Member member, GossipUpdate update, int reporter) {
    if (member.number() != reporter) {
      member.learnMetadata(update);
      return;
    }
    MemberMetadata recorded = member.metadata();
    if (member.correctMetadata(update)) {
      outbox.add(
          new MembershipAction.MetadataCorrected(member.number(), recorded, member.metadata()));
    }
  }

  /** Handles an update that claims that an active member is suspect, dead or has left. */
  private void applyAccusation(Member member, GossipUpdate update, double now) {
    boolean isNewer = update.isNewerThan(member.epoch(), member.incarnation());
    if (isNewer && member.isKnown()) {
      // This instance does not know the accused process or incarnation; a check makes the member
      // report it.
      checks.request(member);
    } else if (isNewer) {
      // A member that died before first contact cannot report its epoch and incarnation itself.
      member.setVersion(update);
      table.onChanged(member);
      accuse(member, update, now);
    } else if (update.isSameVersion(member.epoch(), member.incarnation())) {
      accuse(member, update, now);
    }
  }

  private void accuse(Member member, GossipUpdate update, double now) {
    boolean isLeaving = update.state() == MemberState.LEFT;
    if (isLeaving) {
      member.recordLeaveReport();
    }
    // Recent evidence from the member outweighs an accusation by another member.
    boolean hasRecentEvidence = member.lastEvidenceAt() >= now - settings.interval();
    if (member.isSuspect() || isLeaving || !hasRecentEvidence) {
      transitions.suspect(member, update.accuser(), describe(update), now);
    }
    if (!member.isSuspect()) {
      return;
    }
    if (update.state() == MemberState.DEAD) {
      member.suspicion().recordDeathReport();
    }
    if (member.suspicion().isReportedOnly()) {
      checks.request(member);
    }
  }

  private static String describe(GossipUpdate accusation) {
    return accusation.accuser() < 0
        ? "reported as leaving"
        : "reported by member " + accusation.accuser();
  }
}
