package bitternpulley.membership;

import java.util.HashSet;
import java.util.Set;

/** One probe under way: asked directly first, then again and by helpers, then failed. */
final class Probe {
  /** Timeouts after which helpers are asked, and after which it has failed. */
  private static final double HELP_AFTER = 1;

  private static final double FAILED_AFTER = 3;

  final Member target;
  final int sequence;
  private final double sentAt;
  private final double timeout;
  private final Set<Integer> silent = new HashSet<>();
  private boolean helped;

  Probe(Member target, int sequence, double sentAt, double timeout) {
    this.target = target;
    this.sequence = sequence;
    this.sentAt = sentAt;
    this.timeout = timeout;
  }

  double sentAt() {
    return sentAt;
  }

  /** Whether it is time to ask others; true once. */
  boolean wantsHelp(double now) {
    boolean wants = !helped && now >= sentAt + HELP_AFTER * timeout;
    helped |= wants;
    return wants;
  }

  void askedHelper(int number) {
    silent.add(number);
  }

  /** A helper got no answer either: it, at least, hears this instance. */
  void helperDeclined(int number) {
    silent.remove(number);
  }

  boolean failed(double now) {
    return now >= sentAt + FAILED_AFTER * timeout;
  }

  /**
   * Whether the failure is likely the target's own: somebody was asked to help, and all said that
   * they got no answer.
   */
  boolean othersAgree() {
    return helped && silent.isEmpty();
  }
}
