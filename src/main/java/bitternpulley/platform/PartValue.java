package bitternpulley.platform;

import bitternpulley.broker.Payload;
import java.nio.charset.StandardCharsets;

/**
 * The value of a part as received from a slot server: plain text, validated by {@link SlotFrames}.
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a defensive copy would cost time.
record PartValue(byte[] bytes) implements Payload {
  /** The value as text. */
  String text() {
    return new String(bytes, StandardCharsets.US_ASCII);
  }
}
