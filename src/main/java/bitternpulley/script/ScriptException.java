package bitternpulley.script;

/** A script that is invalid, failed or exceeded a limit, with the position of the fault. */
public final class ScriptException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient SourcePosition position;

  /**
   * An error at a position.
   *
   * @param position null if the script as a whole is at fault
   */
  public ScriptException(SourcePosition position, String message) {
    super(message);
    this.position = position;
  }

  /** The position of the fault, or null if the script as a whole is at fault. */
  public SourcePosition position() {
    return position;
  }

  /** The message, behind the position where there is one. */
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
