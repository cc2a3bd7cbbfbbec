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

  static String of(Membership membership, Optional<Leases.Standing> leases) {
    StringWriter line = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(line)) {
      out.writeStartObject();
      out.writeStringField("view", String.format(Locale.ROOT, "%08x", membership.view()));
      out.writeNumberField("self_health", membership.selfHealth());
      out.writeNumberField("ignored", membership.ignored());
      if (leases.isPresent()) {
        Leases.Standing l = leases.get();
        out.writeObjectFieldStart("lease");
        out.writeNumberField("part", l.part());
        out.writeNumberField("named", l.named());
        out.writeNumberField("held", l.held());
        out.writeNumberField("witnesses", l.witnesses());
        out.writeEndObject();
      }
      out.writeArrayFieldStart("members");
      for (MemberView m : membership.members()) {
        out.writeStartObject();
        out.writeStringField("name", m.card() == null ? null : m.card().name());
        out.writeNumberField("number", m.number());
        out.writeNumberField("epoch", m.epoch());
        out.writeStringField("state", m.standing().name().toLowerCase(Locale.ROOT));
        out.writeStringField("zone", m.card() == null ? null : m.card().zone());
        out.writeNumberField("since_ms", Math.round(m.since()));
        if (Double.isInfinite(m.heard())) {
          out.writeNullField("heard_ms");
        } else {
          out.writeNumberField("heard_ms", Math.round(m.heard()));
        }
        out.writeBooleanField("by_others", m.byOthers());
        out.writeStringField("build", m.card() == null ? null : m.card().build());
        out.writeArrayFieldStart("misses");
        for (int missed : m.hearing().missed()) {
          out.writeNumber(missed);
        }
        out.writeEndArray();
        if (m.hearing().payload().length > 0) {
          out.writeStringField(
              "payload", java.util.HexFormat.of().formatHex(m.hearing().payload()));
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
