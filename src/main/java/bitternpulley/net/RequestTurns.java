package bitternpulley.net;

/**
 * Spreads the requests that one client has sent ahead over turns of the event loop, so that a
 * client with many small requests does not delay the others.
 */
final class RequestTurns {
  /** Number of requests after which the loop takes its other turns first. */
  private static final int MAX_REQUESTS_PER_TURN = 32;

  private final EventLoop loop;
  private int requestsInTurn;
  private boolean awaitsTurn;

  RequestTurns(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns whether the next request waits for a turn of its own. */
  boolean awaitsTurn() {
    return awaitsTurn;
  }

  /** Starts the next request, now or in a later turn. */
  void startNext(Runnable start) {
    requestsInTurn++;
    if (requestsInTurn < MAX_REQUESTS_PER_TURN) {
      start.run();
      return;
    }
    awaitsTurn = true;
    loop.schedule(
        0,
        () -> {
          awaitsTurn = false;
          requestsInTurn = 0;
          start.run();
        });
  }
}
