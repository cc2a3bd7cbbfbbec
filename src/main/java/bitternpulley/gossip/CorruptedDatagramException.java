package bitternpulley.gossip;

/** The checksum of a datagram does not match: the datagram was corrupted in transit. */
final class CorruptedDatagramException extends DatagramException {
  private static final long serialVersionUID = 1;

  CorruptedDatagramException() {
    super("its checksum does not match");
  }
}
