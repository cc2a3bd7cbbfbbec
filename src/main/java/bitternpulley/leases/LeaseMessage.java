package bitternpulley.leases;

import java.util.BitSet;

/**
 * A message between a member and a witness. Messages may be lost, delayed, duplicated or reordered.
 */
public sealed interface LeaseMessage {
  /** Number of the member that sent the message. */
  int from();

  /** Calls the method of {@code handler} for this type of message. */
  <R> R accept(Handler<R> handler);

  /**
   * Handles each type of lease message.
   *
   * @param <R> the result of handling one message
   */
  interface Handler<R> {
    /** Handles a member's request. */
    R onRequest(LeaseRequest request);

    /** Handles a witness's grant. */
    R onGrant(LeaseGrant grant);
  }

  /**
   * A member's request for a lease from a witness.
   *
   * @param from number of the requesting member
   * @param epoch start time of the requesting process
   * @param sequence number of the request, which the grant repeats
   */
  record LeaseRequest(int from, long epoch, int sequence) implements LeaseMessage {
    @Override
    public <R> R accept(Handler<R> handler) {
      return handler.onRequest(this);
    }
  }

  /**
   * A witness's answer to a request: it grants the lease.
   *
   * @param from number of the witness
   * @param sequence sequence number of the request
   * @param delay ms from the receipt of the grant until the lease may be used
   * @param holders numbers of all members that hold a lease from this witness
   */
  record LeaseGrant(int from, int sequence, double delay, BitSet holders) implements LeaseMessage {
    /** Copies the set, because the caller may change it later. */
    public LeaseGrant {
      holders = (BitSet) holders.clone();
    }

    @Override
    public BitSet holders() {
      return (BitSet) holders.clone();
    }

    @Override
    public <R> R accept(Handler<R> handler) {
      return handler.onGrant(this);
    }
  }
}
