package bitternpulley.script;

/**
 * How the execution of a statement completed.
 *
 * @param value the return value of the function; {@code None} unless the kind is {@code RETURN}
 */
record Completion(Kind kind, Object value) {
  static final Completion NORMAL = new Completion(Kind.NORMAL, None.NONE);
  static final Completion BREAK = new Completion(Kind.BREAK, None.NONE);
  static final Completion CONTINUE = new Completion(Kind.CONTINUE, None.NONE);

  /** Whether execution proceeds to the next statement or exits an iteration, loop or function. */
  enum Kind {
    NORMAL,
    BREAK,
    CONTINUE,
    RETURN
  }

  static Completion returning(Object value) {
    return new Completion(Kind.RETURN, value);
  }

  boolean isNormal() {
    return kind == Kind.NORMAL;
  }

  boolean exitsLoop() {
    return kind == Kind.BREAK || kind == Kind.RETURN;
  }
}
