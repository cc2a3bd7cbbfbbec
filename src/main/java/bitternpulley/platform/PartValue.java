package bitternpulley.platform;

import bitternpulley.broker.Payload;
import java.nio.charset.StandardCharsets;

/** The value of a part as a slot server gave it: plain text, as {@link SlotFrames} has checked. */
record PartValue(byte[] bytes) implements Payload {
  String text() {
    return new String(bytes, StandardCharsets.US_ASCII);
  }
}
