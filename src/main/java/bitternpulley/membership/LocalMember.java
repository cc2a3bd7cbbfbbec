package bitternpulley.membership;

import java.util.Arrays;

/** This instance as a member: its process, metadata and payload, and how it refutes suspicions. */
final class LocalMember {
  private final int number;
  private final MemberMetadata metadata;
  private long epoch;
  private int incarnation;
  private boolean isLeaving;
  private MemberPayload payload;

  LocalMember(int number, MemberMetadata metadata, long epoch) {
    this.number = number;
    this.metadata = metadata;
    this.epoch = epoch;
  }

  int number() {
    return number;
  }

  long epoch() {
    return epoch;
  }

  int incarnation() {
    return incarnation;
  }

  boolean isLeaving() {
    return isLeaving;
  }

  void leave() {
    isLeaving = true;
  }

  MemberState state() {
    return isLeaving ? MemberState.LEFT : MemberState.ALIVE;
  }

  /** Replaces the payload; false where it is the same already. */
  boolean publish(byte[] bytes) {
    if (payload != null && Arrays.equals(payload.bytes(), bytes)) {
      return false;
    }
    payload = new MemberPayload(payloadCount() + 1, bytes);
    return true;
  }

  /** Number of the latest payload; 0 where none was published. */
  int payloadCount() {
    return payload == null ? 0 : payload.count();
  }

  boolean hasPayload() {
    return payload != null;
  }

  /**
   * Whether an update carries a payload of this process that it did not publish; if so, its own is
   * published again with a greater count.
   */
  boolean correctPayload(GossipUpdate update) {
    MemberPayload received = update.payload();
    boolean isForged =
        received != null
            && update.epoch() == epoch
            && !received.equals(payload)
            && received.count() >= payloadCount()
            && received.count() < GossipLimits.MAX_PAYLOAD_COUNT;
    if (isForged) {
      byte[] own = payload == null ? new byte[0] : payload.bytes();
      payload = new MemberPayload(received.count() + 1, own);
    }
    return isForged;
  }

  /**
   * Refutes an update that accuses this instance or is newer than its own incarnation, by taking a
   * later incarnation or epoch; whether that was necessary.
   */
  boolean refute(GossipUpdate update) {
    boolean isNewer = update.isNewerThan(epoch, incarnation);
    boolean isAccused =
        update.state() != MemberState.ALIVE
            && (isNewer || update.isSameVersion(epoch, incarnation));
    if (isLeaving || (!isNewer && !isAccused)) {
      return false;
    }
    advancePast(update);
    return true;
  }

  private void advancePast(GossipUpdate update) {
    int highest = Math.max(incarnation, update.incarnation());
    if (update.epoch() > epoch || highest >= GossipLimits.MAX_INCARNATION) {
      epoch = Math.max(epoch, update.epoch()) + 1;
      incarnation = 0;
    } else {
      incarnation = highest + 1;
    }
  }

  /** Its state as an update. */
  GossipUpdate update() {
    return new GossipUpdate(number, epoch, incarnation, state(), GossipUpdate.NO_ACCUSER, metadata);
  }

  /** Its payload as an update, without its metadata. */
  GossipUpdate payloadUpdate() {
    return new GossipUpdate(
        number, epoch, incarnation, state(), GossipUpdate.NO_ACCUSER, null, payload);
  }

  /** This instance in its own view. */
  MemberView view(double uptimeMs) {
    return new MemberView(
        number, epoch, state(), metadata, uptimeMs, 0, false, ReachabilityReport.of(payload));
  }
}
