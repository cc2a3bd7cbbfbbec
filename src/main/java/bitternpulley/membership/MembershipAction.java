package bitternpulley.membership;

import java.util.Locale;

/** An action that the state machine requests, or an event that it reports for the log. */
public sealed interface MembershipAction {
  /**
   * Send a message to a member.
   *
   * @param to number of the receiver
   * @param message what to send
   */
  record Send(int to, GossipMessage message) implements MembershipAction {}

  /**
   * A member's state changed.
   *
   * @param number the member
   * @param metadata its metadata, or null where that is unknown
   * @param before its previous state
   * @param now its state from now on
   * @param evidence the reason, for the log
   */
  record StateChanged(
      int number, MemberMetadata metadata, MemberState before, MemberState now, String evidence)
      implements MembershipAction {
    @Override
    public String toString() {
      return "member "
          + number
          + (metadata == null ? "" : " (" + metadata.name() + ")")
          + " is "
          + lowerCase(now)
          + ", was "
          + lowerCase(before)
          + ": "
          + evidence;
    }

    private static String lowerCase(MemberState state) {
      return state.name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * A member reported other metadata of itself than others had reported.
   *
   * @param number the member
   * @param before the metadata recorded until now
   * @param now its own report, which replaces that
   */
  record MetadataCorrected(int number, MemberMetadata before, MemberMetadata now)
      implements MembershipAction {
    @Override
    public String toString() {
      return "member " + number + " reports " + now + ", was recorded as " + before;
    }
  }

  /**
   * A member published a new payload.
   *
   * @param number the member
   * @param epoch start of its process
   * @param reachability what the payload contains
   */
  record PayloadReceived(int number, long epoch, ReachabilityReport reachability)
      implements MembershipAction {
    @Override
    public String toString() {
      return "member " + number + " published " + reachability;
    }
  }

  /**
   * All messages of a member have been ignored for some intervals.
   *
   * @param number the member
   * @param recordedEpoch start of its process as recorded here
   * @param reportedEpoch start of its process as its messages have it, which is earlier
   */
  record MemberIgnored(int number, long recordedEpoch, long reportedEpoch)
      implements MembershipAction {}

  /**
   * This instance resumed after a pause and withholds verdicts until it had time to receive again.
   *
   * @param pausedForMs ms during which it did not run
   */
  record Resumed(double pausedForMs) implements MembershipAction {
    @Override
    public String toString() {
      return "this instance did not run for "
          + Math.round(pausedForMs)
          + " ms and declares no member dead for some intervals";
    }
  }
}
