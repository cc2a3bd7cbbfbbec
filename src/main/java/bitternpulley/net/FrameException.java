package bitternpulley.net;

/**
 * A frame from a peer whose length no frame may have; the connection cannot be read any further.
 */
public final class FrameException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  FrameException(String message) {
    super(message);
  }
}
