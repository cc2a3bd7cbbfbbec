package bitternpulley.platform;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Request;
import bitternpulley.net.FrameCodec;
import bitternpulley.routing.Router.Outcome;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Encodes and decodes the contents of the frames exchanged with slot servers. The type codes of
 * frames, the status codes of results and the text format of lines are known only here and in the
 * enums {@link FrameType} and {@link ResultStatus}.
 */
final class SlotFrames {
  /** The format of a complete value in the protocol. */
  private static final Pattern COMPLETE_VALUE = Pattern.compile("[0-9a-f]{16}");

  private static final byte ASCII_DELETE = 0x7f;

  private static final String RESULT_FRAME = FrameType.RESULT + " frame";

  private SlotFrames() {}

  /**
   * A decoded result.
   *
   * @param partId the id of the part on the wire
   * @param outcome how the attempt ended
   * @param value the value of the part; null unless it was served
   */
  record Result(String partId, Outcome outcome, PartValue value) {}

  /**
   * Returns the id of an attempt's part on the wire, which consists of the query's id and the
   * shard.
   */
  static String partId(Effect.StartAttempt attempt) {
    PlatformQuery query = (PlatformQuery) attempt.request().payload();
    return query.id() + "." + query.parts().get(attempt.partIndex()).shard();
  }

  /**
   * Encodes the section of a call frame for one part: a header line, then the text of the query.
   */
  static byte[] callSection(Effect.StartAttempt attempt, String partId) {
    PlatformQuery query = (PlatformQuery) attempt.request().payload();
    Request.QueryPart part = query.parts().get(attempt.partIndex());
    byte[] text = query.filter().getBytes(StandardCharsets.UTF_8);
    String line =
        partId
            + " "
            + part.shard()
            + " d="
            + Math.max(1, Math.round(attempt.timeout()))
            + (query.idempotencyKey() == null ? "" : ",k=" + query.idempotencyKey())
            + " "
            + text.length
            + "\n";
    byte[] head = line.getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(head.length + text.length).put(head).put(text).array();
  }

  /**
   * Whether these attempts fit into one frame, which repeats the text of the query for each of
   * them.
   */
  static boolean fitInOneFrame(List<Effect.StartAttempt> attempts) {
    return attempts.stream().mapToInt(attempt -> callSection(attempt, partId(attempt)).length).sum()
        < FrameCodec.MAX_FRAME_BYTES;
  }

  /** Encodes a frame that calls one or more parts. */
  static ByteBuffer encodeCall(List<byte[]> sections) {
    ByteBuffer payload =
        ByteBuffer.allocate(sections.stream().mapToInt(section -> section.length).sum());
    sections.forEach(payload::put);
    return FrameCodec.encode(FrameType.CALL.typeCode(), payload.array());
  }

  /** Encodes a frame that cancels a part. */
  static ByteBuffer encodeCancel(String partId) {
    return FrameCodec.encode(
        FrameType.CANCEL.typeCode(), partId.getBytes(StandardCharsets.US_ASCII));
  }

  /** Encodes a frame with the result of a part, as a slot server without load reports sends it. */
  static ByteBuffer encodeResult(String partId, ResultStatus status, String value) {
    String payload = partId + " " + status.code() + " 0 -\n" + value;
    return FrameCodec.encode(
        FrameType.RESULT.typeCode(), payload.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Decodes the content of a result frame from this server, without the type code. The score and
   * the load report are not used and therefore not checked.
   *
   * @throws ProtocolException if the result cannot be used
   */
  static Result decodeResult(String server, byte[] content) {
    int lineEnd = 0;
    while (lineEnd < content.length && content[lineEnd] != '\n') {
      lineEnd++;
    }
    String[] fields = new String(content, 0, lineEnd, StandardCharsets.ISO_8859_1).split(" ", -1);
    if (lineEnd == content.length || fields.length < 3 || fields[0].isEmpty()) {
      throw new ProtocolException(server, RESULT_FRAME, "it has no first line of three words");
    }
    ResultStatus status = ResultStatus.ofCode(fields[1]);
    if (status == null) {
      throw new ProtocolException(server, RESULT_FRAME, "its status is '" + fields[1] + "'");
    }
    PartValue value =
        status == ResultStatus.SERVED ? decodeValue(server, content, lineEnd + 1) : null;
    return new Result(fields[0], status.outcome(), value);
  }

  /**
   * Accepts only a single line of plain text, so that bytes of another frame cannot be taken for a
   * value.
   */
  private static PartValue decodeValue(String server, byte[] content, int from) {
    for (int index = from; index < content.length; index++) {
      if (content[index] < ' ' || content[index] == ASCII_DELETE) {
        throw new ProtocolException(server, RESULT_FRAME, "its value is not plain text");
      }
    }
    if (from == content.length) {
      throw new ProtocolException(server, RESULT_FRAME, "it has no value");
    }
    return new PartValue(Arrays.copyOfRange(content, from, content.length));
  }

  /** Decodes the text with which a slot server reports that it could not use a frame. */
  static String decodeProtocolError(byte[] content) {
    return new String(content, StandardCharsets.ISO_8859_1);
  }

  /** Whether a value has the complete format, which means that it was not truncated. */
  static boolean isCompleteValue(PartValue value) {
    return COMPLETE_VALUE.matcher(value.text()).matches();
  }
}
