package bitternpulley.membership;

/**
 * Detects that no messages arrive at all, so that this instance, not the others, may be cut off.
 */
final class IsolationMonitor {
  /** Intervals without any message after which this instance pings others once an interval. */
  private static final double SILENT_INTERVALS = 2;

  private final MembershipSettings settings;
  private double lastMessageAt;
  private double lastAnnouncementAt;

  IsolationMonitor(MembershipSettings settings, double now) {
    this.settings = settings;
    lastMessageAt = now;
  }

  /** A usable message of any member arrived. */
  void recordMessage(double now) {
    lastMessageAt = now;
  }

  /**
   * Whether this instance has to show the others that it runs: one that receives nothing probes
   * rarely, as its health is poor, and would be taken for dead.
   */
  boolean needsAnnouncement(double now) {
    return now
        >= Math.max(
            lastMessageAt + SILENT_INTERVALS * settings.interval(),
            lastAnnouncementAt + settings.interval());
  }

  void recordAnnouncement(double now) {
    lastAnnouncementAt = now;
  }

  /** Whether nothing has arrived for so long that every member becomes suspect. */
  boolean isIsolated(double now) {
    return now >= lastMessageAt + settings.withoutMajorityAfter() / 2;
  }

  /** Whether a message arrived recently enough that a verdict needs this instance's own probes. */
  boolean hasContact(double now) {
    return lastMessageAt > now - settings.withoutMajorityAfter();
  }
}
