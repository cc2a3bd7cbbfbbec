package bitternpulley.gossip;

import java.io.IOException;

/** The datagram is no message of the protocol. */
final class MalformedDatagramException extends DatagramException {
  private static final long serialVersionUID = 1;

  MalformedDatagramException(String defect) {
    super(defect);
  }

  MalformedDatagramException(IOException cause) {
    super("invalid CBOR: " + cause.getMessage(), cause);
  }
}
