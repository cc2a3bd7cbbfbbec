package bitternpulley.membership;

import java.util.Arrays;
import java.util.HexFormat;

/**
 * Bytes that a member publishes to all others, at most {@link #MAX_BYTES}; the first byte
 * identifies the format. Of two payloads of one process, the one with the greater sequence number
 * is later.
 */
public final class MemberPayload {
  /** The maximum length of a payload. */
  public static final int MAX_BYTES = 64;

  /** Maximum size of the sequence number and the length header. */
  private static final int MAX_HEADER_BYTES = 7;

  private final int sequenceNumber;
  private final byte[] bytes;

  /**
   * Creates a payload.
   *
   * @param sequenceNumber number of this publication among those of the process
   * @throws IllegalArgumentException if there are more than {@link #MAX_BYTES} bytes
   */
  public MemberPayload(int sequenceNumber, byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "payload of " + bytes.length + " bytes exceeds " + MAX_BYTES);
    }
    this.sequenceNumber = sequenceNumber;
    this.bytes = bytes.clone();
  }

  /** Number of this publication among those of the process. */
  public int sequenceNumber() {
    return sequenceNumber;
  }

  /** A copy of the published bytes. */
  public byte[] bytes() {
    return bytes.clone();
  }

  /** The maximum number of bytes that the payload occupies in a datagram. */
  int maxEncodedBytes() {
    return MAX_HEADER_BYTES + bytes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MemberPayload payload
        && payload.sequenceNumber == sequenceNumber
        && Arrays.equals(payload.bytes, bytes);
  }

  @Override
  public int hashCode() {
    return 31 * sequenceNumber + Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return sequenceNumber + ":" + HexFormat.of().formatHex(bytes);
  }
}
