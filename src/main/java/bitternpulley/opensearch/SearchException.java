package bitternpulley.opensearch;

/** A search that cannot be answered, in the terms of the API: status, error type and reason. */
final class SearchException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;
  private final String type;

  /** Creates an error; the reason is its message. */
  SearchException(int status, String type, String reason) {
    super(reason);
    this.status = status;
    this.type = type;
  }

  /** The client asks for something that this front does not offer. */
  static SearchException illegalArgument(String reason) {
    return new SearchException(400, "illegal_argument_exception", reason);
  }

  /** The client's text cannot be parsed. */
  static SearchException unparsable(String reason) {
    return new SearchException(400, "parsing_exception", reason);
  }

  /** The client cannot be identified. */
  static SearchException unauthenticated(String reason) {
    return new SearchException(401, "security_exception", reason);
  }

  /** The search was rejected; nothing of it has run. */
  static SearchException rejected(String reason) {
    return new SearchException(429, "rejected_execution_exception", reason);
  }

  /** The HTTP status. */
  int status() {
    return status;
  }

  /** The error type of the API. */
  String type() {
    return type;
  }
}
