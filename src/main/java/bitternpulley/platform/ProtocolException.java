package bitternpulley.platform;

/** A message of a slot server that breaks the protocol: names the peer, the message, the defect. */
final class ProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception for a message such as "RESULT frame" of the peer with this id. */
  ProtocolException(String peer, String message, String defect) {
    super("slot server " + peer + ", " + message + ": " + defect);
  }
}
