package bitternpulley.membership;

/**
 * What operators set. Times in ms.
 *
 * @param interval between probes, stretched by an instance's doubt in itself
 * @param timeout until a probe counts as unanswered, and again until it has failed
 * @param relays how many others are asked to probe in one's stead
 * @param suspicionIntervals intervals for which a suspect may refute, by the decimal logarithm of
 *     the number of members
 * @param withoutMajorityAfter after which one that hears no majority calls its suspects dead all
 *     the same
 */
public record MembershipSettings(
    double interval,
    double timeout,
    int relays,
    double suspicionIntervals,
    double withoutMajorityAfter) {
  /** Detects within some 5 s among ten, and bears zones cut off for 10 s. */
  public static final MembershipSettings DEFAULT = new MembershipSettings(1000, 300, 3, 3, 20_000);
}
