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
 * Encodes messages between aggregators as CBOR (RFC 8949) datagrams and decodes them.
 *
 * <p>A membership message is one array {@code [version, deployment, kind, from, epoch, incarnation,
 * sequence, target, viewDigest, updates, payloadDigest]}. An update is {@code [number, epoch,
 * incarnation, state, accuser]}, optionally followed by the four strings of the member's metadata,
 * and optionally by the count and bytes of its payload. {@link WireCodes} defines the numbers of
 * kinds and states. Lease messages have separate kinds: {@code [version, deployment, 16, from,
 * epoch, sequence]} is a request, {@code [version, deployment, 17, from, sequence, delay in ms,
 * holders as bits]} a grant. Elements that a later version appends are skipped.
 *
 * <p>The last element of each array is a {@link DatagramChecksum}. Builds that predate the checksum
 * neither send nor read it, so an array that ends after the elements above is accepted without one.
 */
final class GossipCodec {
  /** The maximum length of a datagram on the platform. */
  static final int MAX_DATAGRAM_BYTES = 256;

  private static final int VERSION = 1;
  private static final int KIND_LEASE_REQUEST = 16;
  private static final int KIND_LEASE_GRANT = 17;
  private static final int LEASE_REQUEST_ELEMENTS = 6;
  private static final int LEASE_GRANT_ELEMENTS = 7;
  private static final int GOSSIP_ELEMENTS = 11;
  private static final int UPDATE_ELEMENTS = 5;
  private static final int METADATA_ELEMENTS = 4;
  private static final int PAYLOAD_ELEMENTS = 2;
  private static final int CHECKSUM_ELEMENTS = 1;

  private static final CBORFactory CBOR = new CBORFactory();

  /**
   * A decoded datagram.
   *
   * @param claimedSender member number that the sender claims to have
   * @param event the event for the broker
   */
  record Datagram(int claimedSender, Event event) {}

  private interface BodyWriter {
    void write(JsonGenerator out) throws IOException;
  }

  private final int deployment;
  private final LeaseMessage.Handler<byte[]> leaseEncoder = new LeaseEncoder();

  /** {@code deployment} must be equal on all members of one fleet. */
  GossipCodec(String deployment) {
    this.deployment = deployment.hashCode();
  }

  byte[] encode(LeaseMessage message) {
    return message.accept(leaseEncoder);
  }

  private final class LeaseEncoder implements LeaseMessage.Handler<byte[]> {
    @Override
    public byte[] onRequest(LeaseMessage.LeaseRequest request) {
      return encode(
          LEASE_REQUEST_ELEMENTS,
          KIND_LEASE_REQUEST,
          request.from(),
          out -> {
            out.writeNumber(request.epoch());
            out.writeNumber(request.sequence());
          });
    }

    @Override
    public byte[] onGrant(LeaseMessage.LeaseGrant grant) {
      return encode(
          LEASE_GRANT_ELEMENTS,
          KIND_LEASE_GRANT,
          grant.from(),
          out -> {
            out.writeNumber(grant.sequence());
            out.writeNumber((long) Math.ceil(grant.delay()));
            out.writeBinary(grant.holders().toByteArray());
          });
    }
  }

  byte[] encode(GossipMessage message) {
    return encode(
        GOSSIP_ELEMENTS,
        WireCodes.encode(message.kind()),
        message.from(),
        out -> {
          out.writeNumber(message.epoch());
          out.writeNumber(message.incarnation());
          out.writeNumber(message.sequence());
          out.writeNumber(message.target());
          out.writeNumber(message.viewDigest());
          out.writeStartArray(null, message.updates().size());
          for (GossipUpdate update : message.updates()) {
            writeUpdate(out, update);
          }
          out.writeEndArray();
          out.writeNumber(message.payloadDigest());
        });
  }

  private byte[] encode(int elements, int kind, int from, BodyWriter body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(MAX_DATAGRAM_BYTES);
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartArray(null, elements + CHECKSUM_ELEMENTS);
      out.writeNumber(VERSION);
      out.writeNumber(deployment);
      out.writeNumber(kind);
      out.writeNumber(from);
      body.write(out);
      out.writeBinary(new byte[DatagramChecksum.BYTES]);
      out.writeEndArray();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    if (bytes.size() > MAX_DATAGRAM_BYTES) {
      throw new IllegalStateException(
          "datagram of " + bytes.size() + " bytes exceeds " + MAX_DATAGRAM_BYTES);
    }
    byte[] datagram = bytes.toByteArray();
    DatagramChecksum.write(datagram);
    return datagram;
  }

  private static void writeUpdate(JsonGenerator out, GossipUpdate update) throws IOException {
    MemberMetadata metadata = update.metadata();
    MemberPayload payload = update.payload();
    out.writeStartArray(
        null,
        UPDATE_ELEMENTS
            + (metadata == null ? 0 : METADATA_ELEMENTS)
            + (payload == null ? 0 : PAYLOAD_ELEMENTS));
    out.writeNumber(update.number());
    out.writeNumber(update.epoch());
    out.writeNumber(update.incarnation());
    out.writeNumber(WireCodes.encode(update.state()));
    out.writeNumber(update.accuser());
    if (metadata != null) {
      out.writeString(metadata.name());
      out.writeString(metadata.zone());
      out.writeString(metadata.region());
      out.writeString(metadata.build());
    }
    if (payload != null) {
      out.writeNumber(payload.sequenceNumber());
      out.writeBinary(payload.bytes());
    }
    out.writeEndArray();
  }

  /**
   * Decodes a datagram.
   *
   * @throws ForeignDatagramException if the deployment or protocol version differs
   * @throws CorruptedDatagramException if the checksum does not match
   * @throws MalformedDatagramException if the datagram is otherwise not a valid message
   */
  Datagram decode(byte[] bytes, int length) throws DatagramException {
    if (length > MAX_DATAGRAM_BYTES) {
      throw new MalformedDatagramException("longer than " + MAX_DATAGRAM_BYTES + " bytes");
    }
    try (JsonParser parser = CBOR.createParser(bytes, 0, length)) {
      DatagramReader in = new DatagramReader(parser);
      Datagram datagram = decode(in);
      if (in.readEnd(length, DatagramChecksum.BYTES) && !DatagramChecksum.isValid(bytes, length)) {
        throw new CorruptedDatagramException();
      }
      return datagram;
    } catch (DatagramException failure) {
      throw failure;
    } catch (IOException failure) {
      throw new MalformedDatagramException(failure);
    }
  }

  private Datagram decode(DatagramReader in) throws IOException {
    in.readArrayStart();
    int version = in.readInt();
    if (version != VERSION) {
      throw new ForeignDatagramException(
          "unsupported protocol version " + version + ", expected " + VERSION);
    }
    if (in.readInt() != deployment) {
      throw new ForeignDatagramException("another deployment");
    }
    int kind = in.readInt();
    int from = in.readInt();
    return new Datagram(
        from,
        switch (kind) {
          case KIND_LEASE_REQUEST -> new Event.LeaseMessageReceived(readLeaseRequest(in, from));
          case KIND_LEASE_GRANT -> new Event.LeaseMessageReceived(readLeaseGrant(in, from));
          default -> new Event.GossipReceived(readGossip(in, kind, from));
        });
  }

  private static LeaseMessage readLeaseRequest(DatagramReader in, int from) throws IOException {
    long epoch = in.readLong();
    int sequence = in.readInt();
    return new LeaseMessage.LeaseRequest(from, epoch, sequence);
  }

  private static LeaseMessage readLeaseGrant(DatagramReader in, int from) throws IOException {
    int sequence = in.readInt();
    long delay = in.readLong();
    BitSet holders = BitSet.valueOf(in.readBytes());
    if (holders.length() > LeaseTerms.MAX_MEMBERS) {
      throw new MalformedDatagramException(
          "lease holder " + (holders.length() - 1) + " exceeds " + LeaseTerms.MAX_MEMBERS);
    }
    return new LeaseMessage.LeaseGrant(from, sequence, delay, holders);
  }

  private static GossipMessage readGossip(DatagramReader in, int kind, int from)
      throws IOException {
    long epoch = in.readLong();
    int incarnation = in.readInt();
    int sequence = in.readInt();
    int target = in.readInt();
    int viewDigest = in.readInt();
    List<GossipUpdate> updates = readUpdates(in);
    int payloadDigest = in.readInt();
    return new GossipMessage(
        WireCodes.decodeKind(kind),
        from,
        epoch,
        incarnation,
        sequence,
        target,
        viewDigest,
        payloadDigest,
        updates);
  }

  private static List<GossipUpdate> readUpdates(DatagramReader in) throws IOException {
    in.readArrayStart();
    List<GossipUpdate> updates = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_ARRAY && updates.size() < GossipMessage.MAX_UPDATES) {
      updates.add(readUpdate(in));
    }
    return List.copyOf(updates);
  }

  private static GossipUpdate readUpdate(DatagramReader in) throws IOException {
    int number = in.readInt();
    long epoch = in.readLong();
    int incarnation = in.readInt();
    MemberState state = WireCodes.decodeState(in.readInt());
    int accuser = in.readInt();
    List<String> texts = new ArrayList<>();
    JsonToken token = in.nextToken();
    for (; token == JsonToken.VALUE_STRING; token = in.nextToken()) {
      texts.add(in.currentText());
    }
    MemberPayload payload = null;
    if (token == JsonToken.VALUE_NUMBER_INT) {
      payload = readPayload(in);
      token = in.nextToken();
    }
    if (token != JsonToken.END_ARRAY) {
      throw new MalformedDatagramException("unexpected element in an update");
    }
    return new GossipUpdate(number, epoch, incarnation, state, accuser, toMetadata(texts), payload);
  }

  private static MemberMetadata toMetadata(List<String> texts) throws MalformedDatagramException {
    if (texts.isEmpty()) {
      return null;
    }
    if (texts.size() != METADATA_ELEMENTS) {
      throw new MalformedDatagramException(
          "metadata of " + texts.size() + " strings, expected " + METADATA_ELEMENTS);
    }
    return new MemberMetadata(texts.get(0), texts.get(1), texts.get(2), texts.get(3));
  }

  private static MemberPayload readPayload(DatagramReader in) throws IOException {
    int count = in.currentInt();
    byte[] bytes = in.readBytes();
    if (bytes.length > MemberPayload.MAX_BYTES) {
      throw new MalformedDatagramException(
          "payload of " + bytes.length + " bytes exceeds " + MemberPayload.MAX_BYTES);
    }
    return new MemberPayload(count, bytes);
  }
}
