package bitternpulley.membership;

/**
 * The record of one other member: its process, its state, and the evidence for that state. Times
 * are ms of the caller's clock. A member is suspect exactly while it has a {@link Suspicion}.
 */
final class Member {
  /**
   * Maximum number of messages read from one member per interval: about 10 are usual, but a backlog
   * arrives at once.
   */
  private static final int MAX_MESSAGES_PER_INTERVAL = 256;

  /**
   * Consecutive probes answered only through relays after which the direct path is considered cut:
   * at 20 % loss, two in a row are still common.
   */
  private static final int UNREACHABLE_AFTER_INDIRECT_ACKS = 3;

  /** Intervals during which all messages of a member are ignored before operators are warned. */
  private static final int IGNORED_WARNING_INTERVALS = 5;

  private static final int NO_REPORTER = -1;

  private final int number;
  private MemberMetadata metadata;
  private long epoch;
  private int incarnation;
  private MemberState state = MemberState.ALIVE;
  private Suspicion suspicion;
  private double stateChangedAt;
  private MemberPayload payload;
  private double lastMessageAt = Double.NEGATIVE_INFINITY;
  private double lastEvidenceAt = Double.NEGATIVE_INFINITY;
  private double lastProbeFailureAt = Double.NEGATIVE_INFINITY;
  private long unconfirmedEpoch;
  private int unconfirmedEpochReporter = NO_REPORTER;
  private boolean isReachedIndirectly;
  private int consecutiveIndirectAcks;
  private boolean isReportedLeaving;
  private boolean isReportingOlderVersion;
  private double ignoredSince = Double.POSITIVE_INFINITY;
  private boolean hasWarnedOfIgnored;
  private double messageWindowStart = Double.NEGATIVE_INFINITY;
  private int messagesInWindow;

  /** Creates a configured member without a known process. */
  Member(int number, double now) {
    this.number = number;
    this.stateChangedAt = now;
  }

  int number() {
    return number;
  }

  /** Epoch of the member's process; 0 while no process is known. */
  long epoch() {
    return epoch;
  }

  /** Whether a process of the member is known. */
  boolean isKnown() {
    return epoch != 0;
  }

  int incarnation() {
    return incarnation;
  }

  MemberState state() {
    return state;
  }

  double stateChangedAt() {
    return stateChangedAt;
  }

  /** Whether the member counts as part of the fleet: alive or suspect. */
  boolean isActive() {
    return state == MemberState.ALIVE || state == MemberState.SUSPECT;
  }

  boolean isAlive() {
    return state == MemberState.ALIVE;
  }

  boolean isSuspect() {
    return state == MemberState.SUSPECT;
  }

  /** The suspicion of the member; null unless the member is suspect. */
  Suspicion suspicion() {
    return suspicion;
  }

  /** The member's metadata; null while unknown. */
  MemberMetadata metadata() {
    return metadata;
  }

  /** The latest payload of the member's process; null while unknown. */
  MemberPayload payload() {
    return payload;
  }

  /** When the last message from the member itself arrived. */
  double lastMessageAt() {
    return lastMessageAt;
  }

  /** When the last evidence arrived that the member runs: a message from it, or a relayed ack. */
  double lastEvidenceAt() {
    return lastEvidenceAt;
  }

  /** When a probe of the member last failed. */
  double lastProbeFailureAt() {
    return lastProbeFailureAt;
  }

  /** Whether the member's last ack came through a relay. */
  boolean isReachedIndirectly() {
    return isReachedIndirectly;
  }

  /** Whether the direct path to the member is considered cut. */
  boolean isUnreachableDirectly() {
    return consecutiveIndirectAcks >= UNREACHABLE_AFTER_INDIRECT_ACKS;
  }

  /** Whether another member reported this one as leaving during the current suspicion. */
  boolean isReportedLeaving() {
    return isReportedLeaving;
  }

  /**
   * Counts a message from the member; returns whether the message exceeds the limit per interval,
   * beyond which messages are dropped unanswered.
   */
  boolean exceedsMessageLimit(double now, double interval) {
    if (now >= messageWindowStart + interval) {
      messageWindowStart = now;
      messagesInWindow = 0;
    }
    return ++messagesInWindow > MAX_MESSAGES_PER_INTERVAL;
  }

  /** Records that a message from the member itself arrived. */
  void recordMessage(double now) {
    lastMessageAt = now;
    lastEvidenceAt = now;
  }

  /** Records the process and incarnation that a message from the member itself carries. */
  void recordReportedVersion(long reportedEpoch, int reportedIncarnation) {
    isReportingOlderVersion =
        reportedEpoch != epoch ? reportedEpoch < epoch : reportedIncarnation < incarnation;
  }

  /** Records that a message from the member was accepted. */
  void recordAccepted() {
    ignoredSince = Double.POSITIVE_INFINITY;
    hasWarnedOfIgnored = false;
  }

  /**
   * Records that a message from the member was ignored, since it comes from an earlier process.
   * Returns whether operators are to be warned, which is once until a message is accepted again.
   */
  boolean recordIgnored(double now, double interval) {
    ignoredSince = Math.min(ignoredSince, now);
    boolean isWarningDue =
        !hasWarnedOfIgnored && now - ignoredSince >= IGNORED_WARNING_INTERVALS * interval;
    hasWarnedOfIgnored |= isWarningDue;
    return isWarningDue;
  }

  /**
   * Whether messages to the member must include what is recorded about it, since only the member
   * itself can correct that: if it is not recorded as alive, or if its last message named an
   * earlier process or incarnation than the recorded one.
   */
  boolean needsUpdateAboutItself() {
    return !isAlive() || isReportingOlderVersion;
  }

  /** Records an ack; {@code ackSender} is the member itself or the relay that forwarded the ack. */
  void recordAck(int ackSender, double now) {
    isReachedIndirectly = ackSender != number;
    consecutiveIndirectAcks = isReachedIndirectly ? consecutiveIndirectAcks + 1 : 0;
    lastEvidenceAt = now;
  }

  void recordProbeFailure(double now) {
    lastProbeFailureAt = now;
  }

  /** Makes the member suspect. */
  void suspect(Suspicion newSuspicion, double now) {
    state = MemberState.SUSPECT;
    stateChangedAt = now;
    suspicion = newSuspicion;
  }

  /** Sets a state other than suspect, which ends the suspicion, if there is one. */
  void resolve(MemberState newState, double now) {
    state = newState;
    stateChangedAt = now;
    suspicion = null;
    isReportedLeaving = false;
  }

  /** Records that another member reports that this member is leaving. */
  void recordLeaveReport() {
    isReportedLeaving = true;
  }

  /** Takes the epoch and incarnation of an update, and nothing else. */
  void setVersion(GossipUpdate update) {
    epoch = update.epoch();
    incarnation = update.incarnation();
  }

  /**
   * Takes an update by which a newer process or incarnation is alive. A new process discards the
   * metadata, payload and reachability of the previous one; within a process, metadata that is
   * already known is kept.
   */
  void adoptNewerVersion(GossipUpdate update) {
    if (update.epoch() != epoch) {
      metadata = null;
      payload = null;
      consecutiveIndirectAcks = 0;
    }
    setVersion(update);
    learnMetadata(update);
    lastProbeFailureAt = Double.NEGATIVE_INFINITY;
  }

  /** Takes the metadata of an update about the current process, if no metadata is known yet. */
  void learnMetadata(GossipUpdate update) {
    if (metadata == null && update.epoch() == epoch) {
      metadata = update.metadata();
    }
  }

  /**
   * Takes the metadata of an update that the member itself sent, which replaces what others
   * reported. Returns whether it differs from the metadata known before.
   */
  boolean correctMetadata(GossipUpdate update) {
    if (update.epoch() != epoch || update.metadata() == null) {
      return false;
    }
    boolean isCorrection = metadata != null && !metadata.equals(update.metadata());
    metadata = update.metadata();
    return isCorrection;
  }

  /**
   * Takes the payload of an update if it is a later one of the same process; returns whether it is.
   */
  boolean learnPayload(GossipUpdate update) {
    MemberPayload received = update.payload();
    boolean isLater =
        received != null
            && update.epoch() == epoch
            && received.sequenceNumber() <= GossipLimits.MAX_PAYLOAD_SEQUENCE_NUMBER
            && (payload == null || received.sequenceNumber() > payload.sequenceNumber());
    if (isLater) {
      payload = received;
    }
    return isLater;
  }

  /**
   * Whether the reports so far suffice to accept a process: one report for a known process or a
   * first contact, two from different members for a new process, so that no single member can forge
   * one. Otherwise records the report.
   */
  boolean confirmEpoch(long reportedEpoch, int reporter) {
    if (reportedEpoch == epoch || !isKnown()) {
      return true;
    }
    if (reportedEpoch == unconfirmedEpoch && unconfirmedEpochReporter != reporter) {
      return true;
    }
    unconfirmedEpoch = reportedEpoch;
    unconfirmedEpochReporter = reporter;
    return false;
  }

  /** The member's payload as an update, without the metadata. */
  GossipUpdate payloadUpdate() {
    return new GossipUpdate(
        number, epoch, incarnation, state, GossipUpdate.NO_ACCUSER, null, payload);
  }

  /** The member's state as an update without an accuser. */
  GossipUpdate update() {
    return update(GossipUpdate.NO_ACCUSER);
  }

  /** The member's state as an update. */
  GossipUpdate update(int accuser) {
    return new GossipUpdate(number, epoch, incarnation, state, accuser, metadata);
  }
}
