package bitternpulley.leases;

import java.util.BitSet;

/** A message between members and witnesses; it may be lost, delayed, repeated or reordered. */
public sealed interface LeaseMessage {
  /** Number of the member that sent it. */
  int from();

  /** Calls the method of {@code handler} for this type of message. */
  <R> R accept(Handler<R> handler);

  /**
   * Handles each type of lease message.
   *
   * @param <R> result of handling one message
   */
  interface Handler<R> {
    /** Handles a member's request. */
    R onRequest(LeaseRequest request);

    /** Handles a witness's grant. */
    R onGrant(LeaseGrant grant);
  }

  /**
   * A member requests a lease of a witness.
   *
   * @param from number of the requesting member
   * @param epoch start of the requesting process
   * @param sequence number that the grant repeats
   */
  record LeaseRequest(int from, long epoch, int sequence) implements LeaseMessage {
    @Override
    public <R> R accept(Handler<R> handler) {
      return handler.onRequest(this);
    }
  }

  /**
   * A witness grants the lease requested under {@code sequence}.
   *
   * @param from number of the witness
   * @param sequence that of the request
   * @param delay ms after receipt from which the lease may be used
   * @param holders numbers of all members that hold a lease of this witness
   */
  record LeaseGrant(int from, int sequence, double delay, BitSet holders) implements LeaseMessage {
    /** Copies the set, which the sender goes on changing. */
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
