package bitternpulley.opensearch;

import bitternpulley.broker.Payload;

/**
 * The error of a failed part, as its server reported it or as this instance found it.
 *
 * @param status the HTTP status
 * @param type the error type of the API
 * @param reason the human-readable description
 */
record PartFailure(int status, String type, String reason) implements Payload {
  /** The server's answer does not cover the whole part, or cannot be read. */
  static PartFailure incomplete() {
    return new PartFailure(
        500, "search_phase_execution_exception", "the server did not answer in whole");
  }

  /** The connection to the server failed. */
  static PartFailure notConnected(String reason) {
    return new PartFailure(503, "node_not_connected_exception", reason);
  }
}
