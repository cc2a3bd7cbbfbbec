package bitternpulley.gossip;

/** The datagram belongs to another deployment or has an unsupported protocol version. */
final class ForeignDatagramException extends DatagramException {
  private static final long serialVersionUID = 1;

  ForeignDatagramException(String reason) {
    super(reason);
  }
}
