package bitternpulley.gossip;

/** The checksum of the datagram does not match: it was changed on the way. */
final class CorruptedDatagramException extends DatagramException {
  private static final long serialVersionUID = 1;

  CorruptedDatagramException() {
    super("its checksum does not match");
  }
}
