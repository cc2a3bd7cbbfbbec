package bitternpulley.script;

/** The type of the language's {@code None}. */
public enum None {
  /** Its only value. */
  NONE;

  @Override
  public String toString() {
    return "None";
  }
}
