package bitternpulley.script;

/** A script that cannot be used: where and why. */
public final class ScriptException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Place position;

  public ScriptException(Place place, String message) {
    super(message);
    this.position = place;
  }

  /** Null where the script as a whole is at fault. */
  public Place position() {
    return position;
  }

  @Override
  public String toString() {
    return position == null ? getMessage() : position + ": " + getMessage();
  }
}
