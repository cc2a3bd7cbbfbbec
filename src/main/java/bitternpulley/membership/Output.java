package bitternpulley.membership;

/** What the state machine asks to be done, or tells. */
public sealed interface Output {
  /** Send a message to a member. */
  record Send(int to, Message message) implements Output {}

  /** A member stands otherwise from now on; {@code evidence} says why, for the log. */
  record Changed(int number, MemberMetadata card, Standing before, Standing now, String evidence)
      implements Output {
    @Override
    public String toString() {
      return "member "
          + number
          + (card == null ? "" : " (" + card.name() + ")")
          + " is "
          + now.name().toLowerCase(java.util.Locale.ROOT)
          + ", was "
          + before.name().toLowerCase(java.util.Locale.ROOT)
          + ": "
          + evidence;
    }
  }

  /** A member tells this of itself from now on. */
  record Told(int number, long epoch, ReachabilityReport hearing) implements Output {
    @Override
    public String toString() {
      return "member " + number + " tells " + hearing;
    }
  }

  /** This instance did not run for so many ms, and withholds judgement until it has heard again. */
  record Woke(double ms) implements Output {
    @Override
    public String toString() {
      return "this instance did not run for "
          + Math.round(ms)
          + " ms and judges nobody for a while";
    }
  }
}
