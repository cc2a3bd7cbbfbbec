package bitternpulley.membership;

/**
 * Settings that operators can change. Times are ms.
 *
 * @param interval time between probes, which is longer while the local health is poor
 * @param timeout time after which relays are asked to probe a target that has not answered; a probe
 *     fails after three times this value
 * @param relays number of members asked to probe on behalf of this instance
 * @param suspicionIntervals minimum number of intervals that a suspect has to refute
 * @param majorityTimeout time after which an instance that does not hear from a majority declares
 *     its suspects dead nevertheless
 */
public record MembershipSettings(
    double interval,
    double timeout,
    int relays,
    double suspicionIntervals,
    double majorityTimeout) {
  /** Detects a death in about 5 s among ten members, and allows a zone to be cut off for 10 s. */
  public static final MembershipSettings DEFAULT = new MembershipSettings(1000, 300, 3, 3, 20_000);
}
