package bitternpulley.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * One probe in progress: first a direct ping, then a second direct ping together with indirect
 * pings through relays; if none is answered, the probe fails.
 */
final class Probe {
  /** Number of timeouts after which relays are asked to ping the target. */
  private static final double RELAYS_AFTER_TIMEOUTS = 1;

  /** Number of timeouts after which the probe has failed. */
  private static final double FAILS_AFTER_TIMEOUTS = 3;

  private final Member target;
  private final int sequence;
  private final double sentAt;
  private final double timeout;
  private final Set<Integer> silentRelays = new HashSet<>();
  private boolean hasRequestedRelays;

  Probe(Member target, int sequence, double sentAt, double timeout) {
    this.target = target;
    this.sequence = sequence;
    this.sentAt = sentAt;
    this.timeout = timeout;
  }

  Member target() {
    return target;
  }

  int sequence() {
    return sequence;
  }

  double sentAt() {
    return sentAt;
  }

  /** Whether relays are to be asked now; true only once, since the call marks them as asked. */
  boolean beginIndirect(double now) {
    if (hasRequestedRelays || now < sentAt + RELAYS_AFTER_TIMEOUTS * timeout) {
      return false;
    }
    hasRequestedRelays = true;
    return true;
  }

  void addRelay(int number) {
    silentRelays.add(number);
  }

  /**
   * Records that a relay got no ack either, but that this instance and the relay can communicate.
   */
  void recordNack(int relay) {
    silentRelays.remove(relay);
  }

  boolean hasFailed(double now) {
    return now >= sentAt + FAILS_AFTER_TIMEOUTS * timeout;
  }

  /**
   * Whether the probe probably failed because of the target: relays were asked, and each answered
   * that it got no ack. A relay that does not answer makes a fault of this instance more likely.
   */
  boolean isConfirmedByRelays() {
    return hasRequestedRelays && silentRelays.isEmpty();
  }
}
