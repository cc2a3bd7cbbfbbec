package bitternpulley.membership;

import java.util.Map;
import java.util.TreeMap;

/**
 * Publishes the payload of this instance: which members this instance does not reach directly, and
 * the bytes of other subsystems.
 */
final class ReachabilityPublisher {
  private final LocalMember local;
  private final MembershipTable table;
  private final MessageComposer composer;
  private byte[] payload = new byte[0];

  /** Whether messages from the member still arrive, by number of the unreachable member. */
  private Map<Integer, Boolean> unreachable = Map.of();

  ReachabilityPublisher(LocalMember local, MembershipTable table, MessageComposer composer) {
    this.local = local;
    this.table = table;
    this.composer = composer;
  }

  /**
   * Publishes bytes of other subsystems.
   *
   * @throws IllegalArgumentException if there are more than {@link
   *     ReachabilityReport#MAX_PAYLOAD_BYTES}
   */
  void publish(byte[] bytes) {
    if (bytes.length > ReachabilityReport.MAX_PAYLOAD_BYTES) {
      throw new IllegalArgumentException(
          "payload of " + bytes.length + " bytes exceeds " + ReachabilityReport.MAX_PAYLOAD_BYTES);
    }
    payload = bytes.clone();
    publish();
  }

  /**
   * Publishes the unreachable members if they have changed. Messages from a member are reported as
   * still arriving if the last one arrived at or after {@code receivedSince}.
   */
  void refresh(double receivedSince) {
    Map<Integer, Boolean> current = new TreeMap<>();
    for (Member member : table.all()) {
      if (member.isActive()
          && member.isUnreachableDirectly()
          && current.size() < ReachabilityReport.MAX_MEMBERS) {
        current.put(member.number(), member.lastMessageAt() >= receivedSince);
      }
    }
    if (!current.equals(unreachable)) {
      unreachable = current;
      publish();
    }
  }

  private void publish() {
    if (local.publish(new ReachabilityReport(unreachable, payload).encode())) {
      composer.disseminatePayload(local.payloadUpdate());
    }
  }
}
