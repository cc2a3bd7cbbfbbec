package bitternpulley.membership;

import java.util.Arrays;

/** This instance as a member: its state and payload, and how it refutes suspicions. */
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

  /** Replaces the payload; returns false if it is unchanged. */
  boolean publish(byte[] bytes) {
    if (payload != null && Arrays.equals(payload.bytes(), bytes)) {
      return false;
    }
    payload = new MemberPayload(payloadSequenceNumber() + 1, bytes);
    return true;
  }

  /** Sequence number of the latest payload; 0 if none was published. */
  int payloadSequenceNumber() {
    return payload == null ? 0 : payload.sequenceNumber();
  }

  boolean hasPayload() {
    return payload != null;
  }

  /**
   * Checks whether an update carries a payload in the name of this process that this process did
   * not publish. If so, gives this instance's own payload a greater sequence number, and returns
   * true.
   */
  boolean correctPayload(GossipUpdate update) {
    MemberPayload received = update.payload();
    boolean isForged =
        received != null
            && update.epoch() == epoch
            && !received.equals(payload)
            && received.sequenceNumber() >= payloadSequenceNumber()
            && received.sequenceNumber() < GossipLimits.MAX_PAYLOAD_SEQUENCE_NUMBER;
    if (isForged) {
      byte[] own = payload == null ? new byte[0] : payload.bytes();
      payload = new MemberPayload(received.sequenceNumber() + 1, own);
    }
    return isForged;
  }

  /**
   * Refutes an update that accuses this instance or has a later epoch or incarnation than this
   * instance, by moving to a still later one; returns whether that was necessary.
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

  /** The state of this instance as an update. */
  GossipUpdate update() {
    return new GossipUpdate(number, epoch, incarnation, state(), GossipUpdate.NO_ACCUSER, metadata);
  }

  /** The payload of this instance as an update, without the metadata. */
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
