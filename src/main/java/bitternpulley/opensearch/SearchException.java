package bitternpulley.opensearch;

/** A search that cannot be answered, in the terms of the API: status, error type and reason. */
final class SearchException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final int status;
  private final String type;

  SearchException(int status, String type, String reason) {
    super(reason);
    this.status = status;
    this.type = type;
  }

  static SearchException illegal(String reason) {
    return new SearchException(400, "illegal_argument_exception", reason);
  }

  int status() {
    return status;
  }

  String type() {
    return type;
  }
}
