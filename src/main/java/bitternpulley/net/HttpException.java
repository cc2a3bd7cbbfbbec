package bitternpulley.net;

/**
 * A message that breaks HTTP/1.1 or a bound of ours; {@code status} is what its sender should be
 * told.
 */
public final class HttpException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final int status;

  public HttpException(int status, String message) {
    super(message);
    this.status = status;
  }

  public int status() {
    return status;
  }
}
