package bitternpulley.opensearch;

/**
 * Reports that a search cannot be answered, with the HTTP status, error type and reason for the
 * client.
 */
final class SearchException extends RuntimeException {
  /** The error type of a request for which there is not enough memory. */
  static final String MEMORY_ERROR_TYPE = "circuit_breaking_exception";

  private static final long serialVersionUID = 1L;

  private final int status;
  private final String type;

  /** Creates an exception with the reason as its message. */
  SearchException(int status, String type, String reason) {
    super(reason);
    this.status = status;
    this.type = type;
  }

  /** The request is invalid or not supported. */
  static SearchException illegalArgument(String reason) {
    return new SearchException(400, "illegal_argument_exception", reason);
  }

  /** The request body cannot be parsed. */
  static SearchException unparsable(String reason) {
    return new SearchException(400, "parsing_exception", reason);
  }

  /** The client cannot be identified. */
  static SearchException unauthenticated(String reason) {
    return new SearchException(401, "security_exception", reason);
  }

  /** The search was rejected before any part of it ran. */
  static SearchException rejected(String reason) {
    return new SearchException(429, "rejected_execution_exception", reason);
  }

  /** The search, or all searches together, would occupy too much memory. */
  static SearchException tooLarge(long maxBytes) {
    return new SearchException(429, MEMORY_ERROR_TYPE, tooLargeReason(maxBytes));
  }

  /** The search occupies too much memory, and a retry could have another effect. */
  static SearchException tooLargeAfterStart(long maxBytes) {
    return new SearchException(500, MEMORY_ERROR_TYPE, tooLargeReason(maxBytes));
  }

  private static String tooLargeReason(long maxBytes) {
    return "Data too large: searches in progress and their answers occupy at most ["
        + maxBytes
        + "] bytes together";
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
