package bitternpulley.membership;

/**
 * Operators' settings. Times in ms.
 *
 * @param interval time between probes, multiplied while the local health is poor
 * @param timeout time after which an unanswered probe goes to relays; it fails after three of these
 * @param relays number of members asked to probe on this one's behalf
 * @param suspicionIntervals the least number of intervals during which a suspect may refute
 * @param withoutMajorityAfter time after which an instance that does not hear from a majority
 *     declares its suspects dead nevertheless
 */
public record MembershipSettings(
    double interval,
    double timeout,
    int relays,
    double suspicionIntervals,
    double withoutMajorityAfter) {
  /** Detects a death in some 5 s among ten members; a zone may be cut off for 10 s. */
  public static final MembershipSettings DEFAULT = new MembershipSettings(1000, 300, 3, 3, 20_000);
}
