package bitternpulley.net;

/** Thrown when an external text is not a numeric address with a port. */
public final class HostPortException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  HostPortException(String message) {
    super(message);
  }

  HostPortException(String message, Throwable cause) {
    super(message, cause);
  }
}
