package bitternpulley.net;

/**
 * Whether a server is draining, quiesced or no longer listening, and what that means for idle
 * connections and incomplete requests. A draining or quiesced server still accepts connections, but
 * closes each one after its next response. A quiesced server also closes idle connections, and can
 * leave that state again.
 */
final class DrainState {
  /** Time that an idle connection of a quiesced server has for a request that is on its way. */
  private static final double QUIESCED_IDLE_MS = 1000;

  /**
   * Time after quiescing by which requests that began before then must have been received
   * completely: 4 s after quiescing, no request older than 2 s may be open.
   */
  private static final double QUIESCED_REQUEST_MS = 1800;

  /** A connection younger than this is expected to send its first request soon. */
  private static final double FIRST_REQUEST_GRACE_MS = 150;

  /**
   * Time after the server stopped listening by which a request must have been received completely;
   * the platform kills the process soon afterwards.
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
  void setQuiesced(boolean enabled) {
    quiesced = enabled;
    quiescedAt = loop.now();
  }

  /** Records that the server stops listening. */
  void stopListening() {
    stoppedAt = loop.now();
  }

  /** Returns when the server stopped listening, in ms of the loop's clock; infinite before. */
  double stoppedAt() {
    return stoppedAt;
  }

  /** Returns whether a connection is closed after its response. */
  boolean closesAfterResponse() {
    return draining || quiesced;
  }

  /** Returns whether a connection that has been idle for {@code idleMs} is closed. */
  boolean closesIdle(double idleMs, boolean hasServedRequest) {
    boolean quiescedIdle =
        quiesced && loop.now() - quiescedAt > QUIESCED_IDLE_MS && idleMs > QUIESCED_IDLE_MS;
    return quiescedIdle
        || (loop.now() >= stoppedAt && (hasServedRequest || idleMs > FIRST_REQUEST_GRACE_MS));
  }

  /** Returns whether a request that began at {@code startedAt} is rejected as too late. */
  boolean rejectsRequest(double startedAt) {
    boolean quiescedRequest =
        quiesced
            && loop.now() - quiescedAt > QUIESCED_REQUEST_MS
            && startedAt < quiescedAt + QUIESCED_REQUEST_MS;
    return quiescedRequest || loop.now() - stoppedAt > LAST_REQUEST_MS;
  }
}
