package bitternpulley.net;

/** Thrown when a peer's frame has an invalid length; its connection cannot be read any further. */
public final class FrameException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  FrameException(String message) {
    super(message);
  }
}
