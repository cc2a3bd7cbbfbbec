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
 * Encodes and decodes the contents of the frames exchanged with slot servers. Frame letters, result
 * codes and the text forms of lines are known here and in the two enums {@link FrameType} and
 * {@link ResultStatus} only.
 */
final class SlotFrames {
  /** The protocol's form of a complete value. */
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

  /** The id of an attempt's part on the wire: the query's id and the shard. */
  static String partId(Effect.StartAttempt attempt) {
    PlatformQuery query = (PlatformQuery) attempt.request().payload();
    return query.id() + "." + query.parts().get(attempt.partIndex()).shard();
  }

  /** The section of a call for one part: its line, then the query's text. */
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

  /** Whether one frame holds these attempts: it repeats the query's text, which may be long. */
  static boolean fitOneCall(List<Effect.StartAttempt> attempts) {
    return attempts.stream().mapToInt(a -> callSection(a, partId(a)).length).sum()
        < FrameCodec.MAX_FRAME_BYTES;
  }

  /** A frame that calls one part or more. */
  static ByteBuffer call(List<byte[]> sections) {
    ByteBuffer rest = ByteBuffer.allocate(sections.stream().mapToInt(s -> s.length).sum());
    sections.forEach(rest::put);
    return FrameCodec.encode(FrameType.CALL.letter(), rest.array());
  }

  /** A frame that cancels a part. */
  static ByteBuffer cancel(String partId) {
    return FrameCodec.encode(FrameType.CANCEL.letter(), partId.getBytes(StandardCharsets.US_ASCII));
  }

  /** A frame with the result of a part, as a slot server without load reports sends it. */
  static ByteBuffer result(String partId, ResultStatus status, String value) {
    String rest = partId + " " + status.code() + " 0 -\n" + value;
    return FrameCodec.encode(FrameType.RESULT.letter(), rest.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Decodes the rest of a result frame of this server. Its score and load report are not used, so
   * they are not checked.
   *
   * @throws ProtocolException where the result cannot be used
   */
  static Result decodeResult(String server, byte[] rest) {
    int lineEnd = 0;
    while (lineEnd < rest.length && rest[lineEnd] != '\n') {
      lineEnd++;
    }
    String[] words = new String(rest, 0, lineEnd, StandardCharsets.ISO_8859_1).split(" ", -1);
    if (lineEnd == rest.length || words.length < 3 || words[0].isEmpty()) {
      throw new ProtocolException(server, RESULT_FRAME, "it has no first line of three words");
    }
    ResultStatus status = ResultStatus.ofCode(words[1]);
    if (status == null) {
      throw new ProtocolException(server, RESULT_FRAME, "its status is '" + words[1] + "'");
    }
    PartValue value = status == ResultStatus.SERVED ? decodeValue(server, rest, lineEnd + 1) : null;
    return new Result(words[0], status.outcome(), value);
  }

  /** A value is one line of plain text: bytes of another frame must not pass for one. */
  private static PartValue decodeValue(String server, byte[] rest, int from) {
    for (int index = from; index < rest.length; index++) {
      if (rest[index] < ' ' || rest[index] == ASCII_DELETE) {
        throw new ProtocolException(server, RESULT_FRAME, "its value is not plain text");
      }
    }
    if (from == rest.length) {
      throw new ProtocolException(server, RESULT_FRAME, "it has no value");
    }
    return new PartValue(Arrays.copyOfRange(rest, from, rest.length));
  }

  /** The words with which a slot server reports that it could not use a frame. */
  static String decodeProtocolError(byte[] rest) {
    return new String(rest, StandardCharsets.ISO_8859_1);
  }

  /** Whether a value has the full form, so that it was not itself cut short. */
  static boolean isCompleteValue(PartValue value) {
    return COMPLETE_VALUE.matcher(value.text()).matches();
  }
}
