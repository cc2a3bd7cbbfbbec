package bitternpulley.membership;

import java.util.Map;
import java.util.TreeMap;

/**
 * Publishes, as this instance's payload, which members it does not reach directly, together with
 * the bytes that other subsystems publish.
 */
final class ReachabilityPublisher {
  private final LocalMember local;
  private final MembershipTable table;
  private final MessageComposer composer;
  private byte[] payload = new byte[0];
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
   * Publishes the unreachable members where these have changed; one that sent a message at or after
   * {@code receivesSince} is reported as still received from.
   */
  void refresh(double receivesSince) {
    Map<Integer, Boolean> current = new TreeMap<>();
    for (Member member : table.all()) {
      if (member.isActive()
          && member.isUnreachableDirectly()
          && current.size() < ReachabilityReport.MAX_MEMBERS) {
        current.put(member.number(), member.lastMessageAt() >= receivesSince);
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
