package bitternpulley.net;

/**
 * Whether a server sends its clients away, and what that means for idle connections and incomplete
 * requests. A server drains (each response ends its connection), is quiesced (the same, but it can
 * be undone and connections are accepted all the while) or stops listening.
 */
final class DrainState {
  /** While quiesced, an idle connection gets this time for a request that is on its way. */
  private static final double QUIESCED_IDLE_MS = 1000;

  /**
   * Time after the call to quiesce by which earlier requests must be complete: 4 s after the call
   * no request older than 2 s may be open.
   */
  private static final double QUIESCED_REQUEST_MS = 1800;

  /** A connection that was opened so recently is about to send its first request. */
  private static final double FIRST_REQUEST_GRACE_MS = 150;

  /**
   * Time after the server stopped listening by which a request must be complete; the platform kills
   * the process soon after.
   */
  private static final double LAST_REQUEST_MS = 200;

  private final EventLoop loop;
  private boolean draining;
  private boolean quiesced;
  private double quiescedAt;
  private double stoppedAt = Double.POSITIVE_INFINITY;

  DrainState(EventLoop loop) {
    this.loop = loop;
  }

  /** Starts to drain. */
  void drain() {
    draining = true;
  }

  /** Enters or leaves the quiesced state. */
  void quiesce(boolean on) {
    quiesced = on;
    quiescedAt = loop.now();
  }

  /** Records that the server stops listening. */
  void stopListening() {
    stoppedAt = loop.now();
  }

  /** Returns when the server stopped listening, in ms of the loop's clock. */
  double stoppedAt() {
    return stoppedAt;
  }

  /** Returns whether a response ends its connection. */
  boolean closesAfterResponse() {
    return draining || quiesced;
  }

  /** Returns whether a connection that has been idle for {@code age} ms is closed. */
  boolean closesIdle(double age, boolean hasServedRequest) {
    boolean quiescedIdle =
        quiesced && loop.now() - quiescedAt > QUIESCED_IDLE_MS && age > QUIESCED_IDLE_MS;
    return quiescedIdle
        || (loop.now() >= stoppedAt && (hasServedRequest || age > FIRST_REQUEST_GRACE_MS));
  }

  /** Returns whether a request that began at {@code startedAt} is too late to be handled. */
  boolean rejectsRequest(double startedAt) {
    boolean quiescedRequest =
        quiesced
            && loop.now() - quiescedAt > QUIESCED_REQUEST_MS
            && startedAt < quiescedAt + QUIESCED_REQUEST_MS;
    return quiescedRequest || loop.now() - stoppedAt > LAST_REQUEST_MS;
  }
}
