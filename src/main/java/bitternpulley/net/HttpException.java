package bitternpulley.net;

/** Thrown when a message violates HTTP/1.1 or a limit; carries the status for its sender. */
public final class HttpException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final int status;

  /** Creates an error with the status and the message that its sender receives. */
  public HttpException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the status that the sender of the message receives. */
  public int status() {
    return status;
  }

  /** Throws an error with status 400 unless the condition holds. */
  static void require(boolean condition, String message) {
    if (!condition) {
      throw new HttpException(400, message);
    }
  }
}
