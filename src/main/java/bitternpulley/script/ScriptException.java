package bitternpulley.script;

/** Thrown if a script is invalid, fails or exceeds a limit; has the position of the error. */
public final class ScriptException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient SourcePosition position;

  /**
   * Creates an error at a position.
   *
   * @param position null if the error concerns the whole script
   */
  public ScriptException(SourcePosition position, String message) {
    super(message);
    this.position = position;
  }

  /** The position of the error, or null if it concerns the whole script. */
  public SourcePosition position() {
    return position;
  }

  /** The message, prefixed with the position if there is one. */
  @Override
  public String getMessage() {
    return position == null ? super.getMessage() : position + ": " + super.getMessage();
  }

  /** The message without the name of this class, as operators see it. */
  @Override
  public String toString() {
    return getMessage();
  }
}
