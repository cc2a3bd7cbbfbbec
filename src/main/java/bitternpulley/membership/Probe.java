package bitternpulley.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * One probe in progress: a direct ping, then a second one together with indirect pings through
 * relays, then failed.
 */
final class Probe {
  /** Time-outs after which relays are asked. */
  private static final double RELAYS_AFTER = 1;

  /** Time-outs after which it has failed. */
  private static final double FAILS_AFTER = 3;

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

  /** Whether relays have to be asked now; true only once. */
  boolean beginIndirect(double now) {
    if (hasRequestedRelays || now < sentAt + RELAYS_AFTER * timeout) {
      return false;
    }
    hasRequestedRelays = true;
    return true;
  }

  void addRelay(int number) {
    silentRelays.add(number);
  }

  /** A relay got no ack either, but this instance and the relay hear each other. */
  void recordNack(int relay) {
    silentRelays.remove(relay);
  }

  boolean hasFailed(double now) {
    return now >= sentAt + FAILS_AFTER * timeout;
  }

  /**
   * Whether the failure is likely the target's: relays were asked, and each answered that it got no
   * ack. A silent relay makes a fault of this instance likelier.
   */
  boolean isConfirmedByRelays() {
    return hasRequestedRelays && silentRelays.isEmpty();
  }
}
