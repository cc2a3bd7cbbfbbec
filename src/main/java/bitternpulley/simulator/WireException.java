package bitternpulley.simulator;

/** Wire text or settings that cannot be used; the message names the field. */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public WireException(String message) {
    super(message);
  }
}
