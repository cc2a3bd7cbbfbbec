package bitternpulley.gossip;

import java.io.IOException;

/** A received datagram is unusable; the message states the reason. */
abstract sealed class DatagramException extends IOException
    permits CorruptedDatagramException, ForeignDatagramException, MalformedDatagramException {
  private static final long serialVersionUID = 1;

  DatagramException(String reason) {
    super(reason);
  }

  DatagramException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
