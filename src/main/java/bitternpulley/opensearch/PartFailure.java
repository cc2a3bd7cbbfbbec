package bitternpulley.opensearch;

import bitternpulley.broker.Payload;

/**
 * Why a part failed, as its server put it.
 *
 * @param status the HTTP status
 * @param type the error type of the API
 * @param reason the text for people
 */
record PartFailure(int status, String type, String reason) implements Payload {
  /** The server answered for less than its whole part, or unreadably. */
  static PartFailure incomplete() {
    return new PartFailure(
        500, "search_phase_execution_exception", "the server did not answer in whole");
  }

  /** The connection to the server failed. */
  static PartFailure notConnected(String reason) {
    return new PartFailure(503, "node_not_connected_exception", reason);
  }
}
