package bitternpulley.simulator;

/** Thrown for a batch that cannot be used; the message names the faulty field or describes why. */
public final class BatchException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message describes the defect. */
  BatchException(String message) {
    super(message);
  }

  /** Creates an exception whose message describes the defect, with its cause. */
  BatchException(String message, Throwable cause) {
    super(message, cause);
  }
}
