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
   * @param metadata the member's metadata, or null if unknown
   * @param previousState the state before the change
   * @param newState the state after the change
   * @param evidence the reason, for the log
   */
  record StateChanged(
      int number,
      MemberMetadata metadata,
      MemberState previousState,
      MemberState newState,
      String evidence)
      implements MembershipAction {
    @Override
    public String toString() {
      return "member "
          + number
          + (metadata == null ? "" : " (" + metadata.name() + ")")
          + " is "
          + lowerCase(newState)
          + ", was "
          + lowerCase(previousState)
          + ": "
          + evidence;
    }

    private static String lowerCase(MemberState state) {
      return state.name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * A member's report of its own metadata differs from what other members had reported.
   *
   * @param number the member
   * @param recorded the metadata recorded until now
   * @param reported the member's own report, which replaces the recorded metadata
   */
  record MetadataCorrected(int number, MemberMetadata recorded, MemberMetadata reported)
      implements MembershipAction {
    @Override
    public String toString() {
      return "member " + number + " reports " + reported + ", was recorded as " + recorded;
    }
  }

  /**
   * A member published a new payload.
   *
   * @param number the member
   * @param epoch epoch of the member's process
   * @param reachability the decoded payload
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
   * @param recordedEpoch the epoch of the member's process that this instance has recorded
   * @param reportedEpoch the epoch that the member's messages carry, which is earlier
   */
  record MemberIgnored(int number, long recordedEpoch, long reportedEpoch)
      implements MembershipAction {}

  /**
   * This instance resumed after a pause and declares no member dead until it has had time to
   * receive messages again.
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
