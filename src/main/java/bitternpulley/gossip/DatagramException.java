package bitternpulley.gossip;

import java.io.IOException;

/** A received datagram cannot be used; the message says why. */
abstract sealed class DatagramException extends IOException
    permits CorruptedDatagramException, ForeignDatagramException, MalformedDatagramException {
  private static final long serialVersionUID = 1;

  DatagramException(String defect) {
    super(defect);
  }

  DatagramException(String defect, Throwable cause) {
    super(defect, cause);
  }
}
