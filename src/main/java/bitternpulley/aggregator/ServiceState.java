package bitternpulley.aggregator;

/**
 * Whether this process serves clients: its phase, and the conditions that readiness has in
 * addition. Used on the loop thread only.
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

  /** Ends the start; a process that already drains never becomes ready. */
  void becomeReady() {
    if (phase != Phase.STARTING) {
      throw new IllegalStateException("Cannot become ready while " + phase);
    }
    phase = Phase.READY;
  }

  /** Begins to drain; false if the process already drains. */
  boolean startDraining() {
    if (phase == Phase.DRAINING) {
      return false;
    }
    phase = Phase.DRAINING;
    return true;
  }

  /** Records that an endpoint list named a live slot server. */
  void recordLiveServer() {
    liveServerKnown = true;
  }

  void setQuiesced(boolean value) {
    quiesced = value;
  }

  /** Whether the start is over and the process does not drain. */
  boolean isServing() {
    return phase == Phase.READY;
  }

  boolean isDraining() {
    return phase == Phase.DRAINING;
  }

  /** What the readiness check of the platform's front reports. */
  boolean isReadyForClients() {
    return phase == Phase.READY && liveServerKnown && !quiesced;
  }
}
