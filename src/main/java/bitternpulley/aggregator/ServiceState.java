package bitternpulley.aggregator;

/**
 * Tracks whether this process serves clients: its phase and the additional conditions for
 * readiness. Used only on the event loop.
 */
final class ServiceState {
  private enum Phase {
    STARTING,
    READY,
    DRAINING
  }

  private Phase phase = Phase.STARTING;
  private boolean liveServerKnown;
  private boolean quiesced;

  /** Ends the start. Not allowed while draining: a draining process never becomes ready. */
  void becomeReady() {
    if (phase != Phase.STARTING) {
      throw new IllegalStateException("Cannot become ready while " + phase);
    }
    phase = Phase.READY;
  }

  /** Starts to drain; returns false if the process is already draining. */
  boolean startDraining() {
    if (phase == Phase.DRAINING) {
      return false;
    }
    phase = Phase.DRAINING;
    return true;
  }

  /** Records that an endpoint list contained a live slot server. */
  void recordLiveServer() {
    liveServerKnown = true;
  }

  void setQuiesced(boolean value) {
    quiesced = value;
  }

  /** Whether the start is complete and the process is not draining. */
  boolean isServing() {
    return phase == Phase.READY;
  }

  boolean isDraining() {
    return phase == Phase.DRAINING;
  }

  /** The result of the readiness check that the HTTP server for queries offers. */
  boolean isReadyForClients() {
    return phase == Phase.READY && liveServerKnown && !quiesced;
  }
}
