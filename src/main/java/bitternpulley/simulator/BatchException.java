package bitternpulley.simulator;

/** A batch that cannot be used. The message says which field is wrong, or how the text is. */
public final class BatchException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an error with the defect as its message. */
  BatchException(String message) {
    super(message);
  }

  /** Creates an error with the defect as its message and the error that showed it. */
  BatchException(String message, Throwable cause) {
    super(message, cause);
  }
}
