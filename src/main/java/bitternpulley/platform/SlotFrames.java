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

/** What stands in the frames to and from slot servers: each encoded and decoded here, once. */
final class SlotFrames {
  /** The protocol's form of a value. */
  private static final Pattern WHOLE = Pattern.compile("[0-9a-f]{16}");

  private SlotFrames() {}

  /** One answer: the part's id, how the attempt ended, and the value where it was served. */
  record Answer(String id, Outcome outcome, PartValue value) {}

  static String partId(Effect.StartAttempt attempt) {
    PlatformQuery query = (PlatformQuery) attempt.request().payload();
    return query.id() + "." + query.slices().get(attempt.partIndex()).shard();
  }

  /** What stands in a call for one part: its line, then the query's text. */
  static byte[] callLine(Effect.StartAttempt attempt, String id) {
    PlatformQuery query = (PlatformQuery) attempt.request().payload();
    Request.QueryPart slice = query.slices().get(attempt.partIndex());
    byte[] text = query.filter().getBytes(StandardCharsets.UTF_8);
    String line =
        id
            + " "
            + slice.shard()
            + " d="
            + Math.max(1, Math.round(attempt.timeout()))
            + (query.token() == null ? "" : ",k=" + query.token())
            + " "
            + text.length
            + "\n";
    byte[] head = line.getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(head.length + text.length).put(head).put(text).array();
  }

  /**
   * Whether one frame holds these attempts: a query's text may be long, and stands there once for
   * each part.
   */
  static boolean fitOneCall(List<Effect.StartAttempt> attempts) {
    return attempts.stream().mapToInt(a -> callLine(a, partId(a)).length).sum() < FrameCodec.MOST;
  }

  /** A call of one part or more. */
  static ByteBuffer call(List<byte[]> lines) {
    ByteBuffer rest = ByteBuffer.allocate(lines.stream().mapToInt(l -> l.length).sum());
    lines.forEach(rest::put);
    return FrameCodec.encode('1', rest.array());
  }

  /** The word that a part is given up. */
  static ByteBuffer giveUp(String id) {
    return FrameCodec.encode('2', id.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Reads an answer; throws IllegalArgumentException where it is spoilt. Its score and report tell
   * the module nothing here, so one that cannot be read spoils nothing.
   */
  static Answer answer(byte[] rest) {
    int line = 0;
    while (line < rest.length && rest[line] != '\n') {
      line++;
    }
    String[] words = new String(rest, 0, line, StandardCharsets.ISO_8859_1).split(" ", -1);
    if (line == rest.length || words.length < 3 || words[0].isEmpty()) {
      throw new IllegalArgumentException("an answer without a head");
    }
    Outcome outcome =
        switch (words[1]) {
          case "S" -> Outcome.OK;
          case "E" -> Outcome.ERROR;
          case "B" -> Outcome.REJECTED;
          default -> throw new IllegalArgumentException("an answer that ends '" + words[1] + "'");
        };
    return new Answer(words[0], outcome, outcome == Outcome.OK ? value(rest, line + 1) : null);
  }

  /**
   * Guards against bytes of another frame, or noise, passed on as a value: that is one line of
   * plain text.
   */
  private static PartValue value(byte[] rest, int from) {
    for (int i = from; i < rest.length; i++) {
      if (rest[i] < ' ' || rest[i] == 0x7f) {
        throw new IllegalArgumentException("an answer whose value is not plain text");
      }
    }
    if (from == rest.length) {
      throw new IllegalArgumentException("an answer without a value");
    }
    return new PartValue(Arrays.copyOfRange(rest, from, rest.length));
  }

  /** Whether a value stands though what follows it cannot be read: it is not itself cut short. */
  static boolean stands(PartValue value) {
    return WHOLE.matcher(value.text()).matches();
  }
}
