package bitternpulley.platform;

import bitternpulley.broker.Payload;
import java.nio.charset.StandardCharsets;

/** The value of a part as a slot server gave it: plain text, as {@link SlotFrames} has checked. */
@SuppressWarnings("ArrayRecordComponent") // Values are never compared, and a copy would cost.
record PartValue(byte[] bytes) implements Payload {
  /** The value as text. */
  String text() {
    return new String(bytes, StandardCharsets.US_ASCII);
  }
}
