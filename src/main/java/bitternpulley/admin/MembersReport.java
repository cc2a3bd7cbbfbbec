package bitternpulley.admin;

import bitternpulley.leases.Leases;
import bitternpulley.membership.MemberView;
import bitternpulley.membership.Membership;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Optional;

/** Who is here, as one instance holds it: one line of JSON (docs/membership.md). */
final class MembersReport {
  private static final JsonFactory JSON = new JsonFactory();

  private MembersReport() {}

  static String of(Membership membership, Optional<Leases.LeaseStatus> leases) {
    StringWriter line = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(line)) {
      out.writeStartObject();
      out.writeStringField("view", String.format(Locale.ROOT, "%08x", membership.viewDigest()));
      out.writeNumberField("self_health", membership.localHealth());
      out.writeNumberField("ignored", membership.ignoredMessages());
      if (leases.isPresent()) {
        Leases.LeaseStatus l = leases.get();
        out.writeObjectFieldStart("lease");
        out.writeNumberField("part", l.quota());
        out.writeNumberField("named", l.activeMembers());
        out.writeNumberField("held", l.leases());
        out.writeNumberField("witnesses", l.witnesses());
        out.writeEndObject();
      }
      out.writeArrayFieldStart("members");
      for (MemberView m : membership.members()) {
        out.writeStartObject();
        out.writeStringField("name", m.metadata() == null ? null : m.metadata().name());
        out.writeNumberField("number", m.number());
        out.writeNumberField("epoch", m.epoch());
        out.writeStringField("state", m.state().name().toLowerCase(Locale.ROOT));
        out.writeStringField("zone", m.metadata() == null ? null : m.metadata().zone());
        out.writeNumberField("since_ms", Math.round(m.since()));
        if (Double.isInfinite(m.heardFrom())) {
          out.writeNullField("heard_ms");
        } else {
          out.writeNumberField("heard_ms", Math.round(m.heardFrom()));
        }
        out.writeBooleanField("by_others", m.byOthers());
        out.writeStringField("build", m.metadata() == null ? null : m.metadata().build());
        out.writeArrayFieldStart("misses");
        for (int missed : m.reachability().missed()) {
          out.writeNumber(missed);
        }
        out.writeEndArray();
        if (m.reachability().payload().length > 0) {
          out.writeStringField(
              "payload", java.util.HexFormat.of().formatHex(m.reachability().payload()));
        }
        out.writeEndObject();
      }
      out.writeEndArray();
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return line.toString();
  }
}
