package bitternpulley.gossip;

import bitternpulley.broker.Event;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.leases.LeaseTerms;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.GossipUpdate;
import bitternpulley.membership.MemberMetadata;
import bitternpulley.membership.MemberPayload;
import bitternpulley.membership.MemberState;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Messages as CBOR (RFC 8949): one array {@code [version, deployment, kind, from, epoch,
 * incarnation, sequence, target, view, rumors, told]}; a rumor is {@code [number, epoch,
 * incarnation, standing, accuser]} with the four texts of its card behind it where it has one, and
 * the count and bytes of its slot behind those. What concerns leases has kinds of its own: {@code
 * [version, deployment, 16, from, epoch, sequence]} asks, {@code [version, deployment, 17, from,
 * sequence, after how many ms, named as bits]} grants. What a later version adds behind these is
 * not read.
 */
final class GossipCodec {
  /** The longest datagram that the platform carries; what is longer voids a run. */
  static final int MOST_BYTES = 256;

  private static final int VERSION = 1;
  private static final int ASKED = 16;
  private static final int GRANTED = 17;

  /** A datagram as it was understood: whom it names as its sender, and what it is to the core. */
  record Datagram(int from, Event event) {}

  private interface Body {
    void write(JsonGenerator out) throws IOException;
  }

  private static final CBORFactory CBOR = new CBORFactory();

  /**
   * Of another deployment, or of a version that is not known here: no fault, and nothing to do with
   * us.
   */
  static final class Foreign extends IOException {
    private static final long serialVersionUID = 1;

    Foreign(String why) {
      super(why);
    }
  }

  private final int deployment;

  /** {@code deployment} is the same on all that are to find each other. */
  GossipCodec(String deployment) {
    this.deployment = deployment.hashCode();
  }

  byte[] encode(LeaseMessage m) {
    if (m instanceof LeaseMessage.LeaseRequest a) {
      return encode(
          6,
          ASKED,
          a.from(),
          out -> {
            out.writeNumber(a.epoch());
            out.writeNumber(a.sequence());
          });
    }
    LeaseMessage.LeaseGrant g = (LeaseMessage.LeaseGrant) m;
    return encode(
        7,
        GRANTED,
        g.from(),
        out -> {
          out.writeNumber(g.sequence());
          out.writeNumber((long) Math.ceil(g.delay()));
          out.writeBinary(g.holders().toByteArray());
        });
  }

  byte[] encode(GossipMessage m) {
    return encode(
        11,
        m.kind().ordinal(),
        m.from(),
        out -> {
          out.writeNumber(m.epoch());
          out.writeNumber(m.incarnation());
          out.writeNumber(m.sequence());
          out.writeNumber(m.target());
          out.writeNumber(m.viewDigest());
          out.writeStartArray(null, m.updates().size());
          for (GossipUpdate r : m.updates()) {
            rumor(out, r);
          }
          out.writeEndArray();
          out.writeNumber(m.payloadDigest());
        });
  }

  private byte[] encode(int fields, int kind, int from, Body body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(MOST_BYTES);
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartArray(null, fields);
      out.writeNumber(VERSION);
      out.writeNumber(deployment);
      out.writeNumber(kind);
      out.writeNumber(from);
      body.write(out);
      out.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (bytes.size() > MOST_BYTES) {
      throw new IllegalStateException("a datagram of " + bytes.size() + " bytes");
    }
    return bytes.toByteArray();
  }

  private static void rumor(JsonGenerator out, GossipUpdate r) throws IOException {
    out.writeStartArray(null, 5 + (r.metadata() == null ? 0 : 4) + (r.payload() == null ? 0 : 2));
    out.writeNumber(r.number());
    out.writeNumber(r.epoch());
    out.writeNumber(r.incarnation());
    out.writeNumber(r.state().ordinal());
    out.writeNumber(r.accuser());
    if (r.metadata() != null) {
      for (String text :
          List.of(
              r.metadata().name(),
              r.metadata().zone(),
              r.metadata().region(),
              r.metadata().build())) {
        out.writeString(text);
      }
    }
    if (r.payload() != null) {
      out.writeNumber(r.payload().count());
      out.writeBinary(r.payload().bytes());
    }
    out.writeEndArray();
  }

  /**
   * Reads a datagram; throws {@link Foreign} for another deployment's or version's, IOException for
   * what is no message.
   */
  Datagram decode(byte[] bytes, int length) throws IOException {
    if (length > MOST_BYTES) {
      throw new IOException("longer than " + MOST_BYTES + " bytes");
    }
    try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
      begin(in, in.nextToken());
      int version = integer(in);
      if (version != VERSION) {
        throw new Foreign("of version " + version + ", not " + VERSION);
      }
      if (integer(in) != deployment) {
        throw new Foreign("of another deployment");
      }
      int kind = integer(in);
      int from = integer(in);
      if (kind == ASKED || kind == GRANTED) {
        return new Datagram(
            from,
            new Event.LeaseMessageReceived(
                kind == ASKED
                    ? new LeaseMessage.LeaseRequest(from, number(in), integer(in))
                    : new LeaseMessage.LeaseGrant(from, integer(in), number(in), named(in))));
      }
      long epoch = number(in);
      int incarnation = integer(in);
      int sequence = integer(in);
      int target = integer(in);
      int view = integer(in);
      begin(in, in.nextToken());
      List<GossipUpdate> rumors = new ArrayList<>();
      while (in.nextToken() == JsonToken.START_ARRAY && rumors.size() < GossipMessage.MAX_UPDATES) {
        rumors.add(rumor(in));
      }
      return new Datagram(
          from,
          new Event.GossipReceived(
              new GossipMessage(
                  one(GossipMessage.Kind.values(), kind),
                  from,
                  epoch,
                  incarnation,
                  sequence,
                  target,
                  view,
                  integer(in),
                  List.copyOf(rumors))));
    }
  }

  private static BitSet named(JsonParser in) throws IOException {
    if (in.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
      throw new IOException("no bytes");
    }
    BitSet named = BitSet.valueOf(in.getBinaryValue());
    if (named.length() > LeaseTerms.MAX_MEMBERS) {
      throw new IOException("members beyond the most");
    }
    return named;
  }

  private static GossipUpdate rumor(JsonParser in) throws IOException {
    int number = integer(in);
    long epoch = number(in);
    int incarnation = integer(in);
    MemberState standing = one(MemberState.values(), integer(in));
    int accuser = integer(in);
    List<String> texts = new ArrayList<>();
    JsonToken next = in.nextToken();
    for (; next == JsonToken.VALUE_STRING; next = in.nextToken()) {
      texts.add(in.getText());
    }
    MemberPayload slot = null;
    if (next == JsonToken.VALUE_NUMBER_INT) {
      slot = slot(in);
      next = in.nextToken();
    }
    if (next != JsonToken.END_ARRAY || texts.size() != 0 && texts.size() != 4) {
      throw new IOException("a rumor that is none");
    }
    return new GossipUpdate(
        number,
        epoch,
        incarnation,
        standing,
        accuser,
        texts.isEmpty()
            ? null
            : new MemberMetadata(texts.get(0), texts.get(1), texts.get(2), texts.get(3)),
        slot);
  }

  private static MemberPayload slot(JsonParser in) throws IOException {
    long count = in.getLongValue();
    byte[] bytes = in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT ? in.getBinaryValue() : null;
    if (bytes == null || bytes.length > MemberPayload.MAX_BYTES || count != (int) count) {
      throw new IOException("a slot that is none");
    }
    return new MemberPayload((int) count, bytes);
  }

  private static void begin(JsonParser in, JsonToken token) throws IOException {
    if (token != JsonToken.START_ARRAY) {
      throw new IOException("no array");
    }
  }

  private static int integer(JsonParser in) throws IOException {
    long value = number(in);
    if (value != (int) value) {
      throw new IOException("a number out of bounds");
    }
    return (int) value;
  }

  private static long number(JsonParser in) throws IOException {
    if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
      throw new IOException("no whole number");
    }
    return in.getLongValue();
  }

  private static <T> T one(T[] of, int place) throws IOException {
    if (place < 0 || place >= of.length) {
      throw new IOException("no such kind");
    }
    return of[place];
  }
}
