package bitternpulley.net;

/** A text from outside that is not an address of numbers and a port. */
public final class HostPortException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  HostPortException(String message) {
    super(message);
  }

  HostPortException(String message, Throwable cause) {
    super(message, cause);
  }
}
