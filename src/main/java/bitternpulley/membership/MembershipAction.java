package bitternpulley.membership;

/** What the state machine asks to be done, or tells. */
public sealed interface MembershipAction {
  /** Send a message to a member. */
  record Send(int to, GossipMessage message) implements MembershipAction {}

  /** A member stands otherwise from now on; {@code evidence} says why, for the log. */
  record StateChanged(
      int number, MemberMetadata metadata, MemberState before, MemberState now, String evidence)
      implements MembershipAction {
    @Override
    public String toString() {
      return "member "
          + number
          + (metadata == null ? "" : " (" + metadata.name() + ")")
          + " is "
          + now.name().toLowerCase(java.util.Locale.ROOT)
          + ", was "
          + before.name().toLowerCase(java.util.Locale.ROOT)
          + ": "
          + evidence;
    }
  }

  /** A member tells this of itself from now on. */
  record PayloadReceived(int number, long epoch, ReachabilityReport reachability)
      implements MembershipAction {
    @Override
    public String toString() {
      return "member " + number + " tells " + reachability;
    }
  }

  /** This instance did not run for so many ms, and withholds judgement until it has heard again. */
  record Resumed(double pausedForMs) implements MembershipAction {
    @Override
    public String toString() {
      return "this instance did not run for "
          + Math.round(pausedForMs)
          + " ms and judges nobody for a while";
    }
  }
}
