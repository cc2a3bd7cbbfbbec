package bitternpulley.admin;

import bitternpulley.broker.Broker;
import bitternpulley.leases.Leases;
import bitternpulley.membership.MemberView;
import bitternpulley.membership.Membership;
import bitternpulley.membership.ReachabilityReport;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;

/**
 * Reports the members of the fleet, as this instance sees them, as one line of JSON
 * (docs/membership.md).
 */
final class MembersReport {
  private MembersReport() {}

  /** Reports the members and, if leases are in use, the state of this instance's leases. */
  static String of(Membership membership, Broker broker) {
    Optional<Leases> leases = broker.leases();
    return JsonLine.of(
        json -> {
          json.writeStringField(
              "view", String.format(Locale.ROOT, "%08x", membership.viewDigest()));
          json.writeNumberField("self_health", membership.localHealth());
          json.writeNumberField("ignored", membership.ignoredMessages());
          json.writeNumberField("corrupted", broker.corruptedDatagrams());
          if (leases.isPresent()) {
            writeLeases(json, leases.get().status(broker.now()));
          }
          json.writeArrayFieldStart("members");
          for (MemberView member : membership.members()) {
            writeMember(json, member);
          }
          json.writeEndArray();
        });
  }

  private static void writeLeases(JsonGenerator json, Leases.LeaseStatus status)
      throws IOException {
    json.writeObjectFieldStart("lease");
    json.writeNumberField("part", status.quota());
    json.writeNumberField("named", status.activeMembers());
    json.writeNumberField("held", status.usableLeases());
    json.writeNumberField("witnesses", status.witnesses());
    json.writeEndObject();
  }

  private static void writeMember(JsonGenerator json, MemberView member) throws IOException {
    json.writeStartObject();
    json.writeStringField("name", member.metadata() == null ? null : member.metadata().name());
    json.writeNumberField("number", member.number());
    json.writeNumberField("epoch", member.epoch());
    json.writeStringField("state", member.state().name().toLowerCase(Locale.ROOT));
    json.writeStringField("zone", member.metadata() == null ? null : member.metadata().zone());
    json.writeNumberField("since_ms", Math.round(member.sinceStateChange()));
    writeAge(json, "heard_ms", member.sinceLastEvidence());
    json.writeBooleanField("by_others", member.reachedIndirectly());
    json.writeStringField("build", member.metadata() == null ? null : member.metadata().build());
    writeReachability(json, member.reachability());
    json.writeEndObject();
  }

  /** Writes a rounded age in ms, or null if it is infinite because the event never happened. */
  private static void writeAge(JsonGenerator json, String key, double age) throws IOException {
    if (Double.isInfinite(age)) {
      json.writeNullField(key);
    } else {
      json.writeNumberField(key, Math.round(age));
    }
  }

  private static void writeReachability(JsonGenerator json, ReachabilityReport report)
      throws IOException {
    json.writeArrayFieldStart("misses");
    for (int unreachable : report.unreachable()) {
      json.writeNumber(unreachable);
    }
    json.writeEndArray();
    if (report.payload().length > 0) {
      json.writeStringField("payload", HexFormat.of().formatHex(report.payload()));
    }
  }
}
