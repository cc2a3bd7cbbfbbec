package bitternpulley.membership;

/**
 * Detects that this instance receives no messages at all, so that this instance itself rather than
 * the others may be cut off.
 */
final class IsolationMonitor {
  /** Intervals without any message after which this instance sends keepalive pings. */
  private static final double SILENT_INTERVALS = 2;

  private final MembershipSettings settings;
  private double lastMessageAt;
  private double lastKeepaliveAt;

  IsolationMonitor(MembershipSettings settings, double now) {
    this.settings = settings;
    lastMessageAt = now;
  }

  /** Records that a usable message from any member arrived. */
  void recordMessage(double now) {
    lastMessageAt = now;
  }

  /**
   * Whether keepalive pings are due, which is once per interval while no messages arrive. An
   * instance that receives nothing has poor local health and therefore probes rarely; without
   * keepalive pings the others would declare it dead.
   */
  boolean needsKeepalive(double now) {
    return now
        >= Math.max(
            lastMessageAt + SILENT_INTERVALS * settings.interval(),
            lastKeepaliveAt + settings.interval());
  }

  void recordKeepalive(double now) {
    lastKeepaliveAt = now;
  }

  /** Whether no message has arrived for so long that every member is to be suspected. */
  boolean isIsolated(double now) {
    return now >= lastMessageAt + settings.majorityTimeout() / 2;
  }

  /**
   * Whether a message arrived within {@link MembershipSettings#majorityTimeout}. Only then does the
   * declaration of a death require failed probes of this instance.
   */
  boolean hasRecentMessage(double now) {
    return lastMessageAt > now - settings.majorityTimeout();
  }
}
