package bitternpulley.gossip;

/** The datagram belongs to another deployment or to a protocol version unknown here. */
final class ForeignDatagramException extends DatagramException {
  private static final long serialVersionUID = 1;

  ForeignDatagramException(String difference) {
    super(difference);
  }
}
