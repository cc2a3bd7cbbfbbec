package bitternpulley.membership;

/**
 * The record of one other member: its process, its state, and the evidence for that. Times are ms
 * of the caller's clock. A member is suspect exactly while it has a {@link Suspicion}.
 */
final class Member {
  /** Messages read of one member per interval: some 10 are usual, a backlog arrives at once. */
  private static final int MAX_MESSAGES_PER_INTERVAL = 256;

  /**
   * Consecutive probes answered only through relays after which the direct path counts as cut: at
   * 20 % loss, two in a row are still common.
   */
  private static final int UNREACHABLE_AFTER = 3;

  /** Intervals for which all its messages are ignored before operators are warned. */
  private static final int IGNORED_WARNING_INTERVALS = 5;

  private static final int NO_CLAIMANT = -1;

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
  private long claimedEpoch;
  private int claimedBy = NO_CLAIMANT;
  private boolean isReachedIndirectly;
  private int consecutiveIndirectAcks;
  private boolean isReportedLeaving;
  private boolean isBehindRecord;
  private double ignoredSince = Double.POSITIVE_INFINITY;
  private boolean isIgnoredReported;
  private double countingSince = Double.NEGATIVE_INFINITY;
  private int messagesCounted;

  /** A configured member of which no process is known yet. */
  Member(int number, double now) {
    this.number = number;
    this.stateChangedAt = now;
  }

  int number() {
    return number;
  }

  /** Start of its process; 0 while no process of it is known. */
  long epoch() {
    return epoch;
  }

  /** Whether a process of it is known. */
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

  /** Whether it counts as part of the fleet: alive or suspect. */
  boolean isActive() {
    return state == MemberState.ALIVE || state == MemberState.SUSPECT;
  }

  boolean isAlive() {
    return state == MemberState.ALIVE;
  }

  boolean isSuspect() {
    return state == MemberState.SUSPECT;
  }

  /** The suspicion of it; null unless it is suspect. */
  Suspicion suspicion() {
    return suspicion;
  }

  /** Its metadata; null while unknown. */
  MemberMetadata metadata() {
    return metadata;
  }

  /** The latest payload of its process; null while unknown. */
  MemberPayload payload() {
    return payload;
  }

  /** When its own last message arrived. */
  double lastMessageAt() {
    return lastMessageAt;
  }

  /** When anything last showed that it runs: its own message, or an ack through a relay. */
  double lastEvidenceAt() {
    return lastEvidenceAt;
  }

  /** When a probe of it last failed. */
  double lastProbeFailureAt() {
    return lastProbeFailureAt;
  }

  /** Whether its last ack came through a relay. */
  boolean isReachedIndirectly() {
    return isReachedIndirectly;
  }

  /** Whether the direct path to it counts as cut. */
  boolean isUnreachableDirectly() {
    return consecutiveIndirectAcks >= UNREACHABLE_AFTER;
  }

  /** Whether the current suspicion includes a report that it announced to leave. */
  boolean isReportedLeaving() {
    return isReportedLeaving;
  }

  /**
   * Counts a message of it; returns whether it exceeds the limit per interval, beyond which
   * messages are dropped unanswered.
   */
  boolean exceedsMessageLimit(double now, double interval) {
    if (now >= countingSince + interval) {
      countingSince = now;
      messagesCounted = 0;
    }
    return ++messagesCounted > MAX_MESSAGES_PER_INTERVAL;
  }

  /** Its own message arrived. */
  void recordMessage(double now) {
    lastMessageAt = now;
    lastEvidenceAt = now;
  }

  /** Its own message named this process and incarnation as the current one. */
  void recordOwnVersion(long reportedEpoch, int reportedIncarnation) {
    isBehindRecord =
        reportedEpoch != epoch ? reportedEpoch < epoch : reportedIncarnation < incarnation;
  }

  /** Its message was used. */
  void recordAccepted() {
    ignoredSince = Double.POSITIVE_INFINITY;
    isIgnoredReported = false;
  }

  /**
   * Its message was ignored, since it is of an earlier process; whether operators are to be warned,
   * which is once until another of its messages is used.
   */
  boolean recordIgnored(double now, double interval) {
    ignoredSince = Math.min(ignoredSince, now);
    boolean isDue =
        !isIgnoredReported && now - ignoredSince >= IGNORED_WARNING_INTERVALS * interval;
    isIgnoredReported |= isDue;
    return isDue;
  }

  /**
   * Whether it has to learn what is recorded here, since only the member itself can correct that:
   * where it is not held to be alive, or its last message named an earlier process or incarnation.
   */
  boolean needsOwnRecord() {
    return !isAlive() || isBehindRecord;
  }

  /** It answered a probe; {@code ackSender} is itself or the relay that passed the ack on. */
  void recordAck(int ackSender, double now) {
    isReachedIndirectly = ackSender != number;
    consecutiveIndirectAcks = isReachedIndirectly ? consecutiveIndirectAcks + 1 : 0;
    lastEvidenceAt = now;
  }

  void recordProbeFailure(double now) {
    lastProbeFailureAt = now;
  }

  /** A suspicion begins. */
  void suspect(Suspicion newSuspicion, double now) {
    state = MemberState.SUSPECT;
    stateChangedAt = now;
    suspicion = newSuspicion;
  }

  /** Ends a suspicion, if there is one, in a state other than suspect. */
  void resolve(MemberState next, double now) {
    state = next;
    stateChangedAt = now;
    suspicion = null;
    isReportedLeaving = false;
  }

  /** Another member reports that it announced to leave. */
  void recordLeaveReport() {
    isReportedLeaving = true;
  }

  /** Takes over the process and incarnation of an update, and nothing else. */
  void adoptVersion(GossipUpdate update) {
    epoch = update.epoch();
    incarnation = update.incarnation();
  }

  /**
   * Takes over a newer process or incarnation that is alive. Payload and reachability belong to a
   * process and do not survive its restart; metadata is kept where it is known.
   */
  void renew(GossipUpdate update) {
    if (update.epoch() != epoch) {
      metadata = null;
      payload = null;
      consecutiveIndirectAcks = 0;
    }
    adoptVersion(update);
    learnMetadata(update);
    lastProbeFailureAt = Double.NEGATIVE_INFINITY;
  }

  /** Takes the metadata of an update about its process, where none is known. */
  void learnMetadata(GossipUpdate update) {
    if (metadata == null && update.epoch() == epoch) {
      metadata = update.metadata();
    }
  }

  /**
   * Takes the metadata of an update that the member itself sent, which replaces what others
   * reported; whether it differed from what was known.
   */
  boolean correctMetadata(GossipUpdate update) {
    if (update.epoch() != epoch || update.metadata() == null) {
      return false;
    }
    boolean isCorrection = metadata != null && !metadata.equals(update.metadata());
    metadata = update.metadata();
    return isCorrection;
  }

  /** Takes the payload of an update if it is a later one of its process; whether it was. */
  boolean learnPayload(GossipUpdate update) {
    MemberPayload received = update.payload();
    boolean isLater =
        received != null
            && update.epoch() == epoch
            && received.count() <= GossipLimits.MAX_PAYLOAD_COUNT
            && (payload == null || received.count() > payload.count());
    if (isLater) {
      payload = received;
    }
    return isLater;
  }

  /**
   * Whether a report of its process suffices to believe in it: one report for a known process, two
   * of different members for a new one, so that no single member can make a process up. Records the
   * claim otherwise.
   */
  boolean confirmsEpoch(long reportedEpoch, int reporter) {
    if (reportedEpoch == epoch || !isKnown()) {
      return true;
    }
    if (reportedEpoch == claimedEpoch && claimedBy != reporter) {
      return true;
    }
    claimedEpoch = reportedEpoch;
    claimedBy = reporter;
    return false;
  }

  /** Its payload as an update, without its metadata. */
  GossipUpdate payloadUpdate() {
    return new GossipUpdate(
        number, epoch, incarnation, state, GossipUpdate.NO_ACCUSER, null, payload);
  }

  /** Its state as an update that names no accuser. */
  GossipUpdate update() {
    return update(GossipUpdate.NO_ACCUSER);
  }

  /** Its state as an update. */
  GossipUpdate update(int accuser) {
    return new GossipUpdate(number, epoch, incarnation, state, accuser, metadata);
  }
}
