package bitternpulley.gossip;

import java.io.IOException;

/** The datagram is not a valid message of the protocol. */
final class MalformedDatagramException extends DatagramException {
  private static final long serialVersionUID = 1;

  MalformedDatagramException(String reason) {
    super(reason);
  }

  MalformedDatagramException(IOException cause) {
    super("invalid CBOR: " + cause.getMessage(), cause);
  }
}
