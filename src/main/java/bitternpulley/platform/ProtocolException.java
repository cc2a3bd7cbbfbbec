package bitternpulley.platform;

/**
 * Thrown for a message of a slot server that violates the protocol. The text names the server, the
 * message and the defect.
 */
final class ProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception for a message, such as "RESULT frame", of the server with this id. */
  ProtocolException(String peer, String message, String defect) {
    super("slot server " + peer + ", " + message + ": " + defect);
  }
}
