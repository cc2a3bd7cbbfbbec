package bitternpulley.membership;

import java.util.Arrays;
import java.util.HexFormat;

/**
 * Bytes that a member publishes to all others, at most {@link #MAX_BYTES}; the first byte names the
 * format. Of two payloads of one process, that with the greater count is the later one.
 */
public final class MemberPayload {
  /** The longest payload. */
  public static final int MAX_BYTES = 64;

  /** Count and length header, at the most. */
  private static final int MAX_HEADER_BYTES = 7;

  private final int count;
  private final byte[] bytes;

  /**
   * A payload.
   *
   * @param count number of this publication of the process
   * @throws IllegalArgumentException if there are more than {@link #MAX_BYTES} bytes
   */
  public MemberPayload(int count, byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "payload of " + bytes.length + " bytes exceeds " + MAX_BYTES);
    }
    this.count = count;
    this.bytes = bytes.clone();
  }

  /** Number of this publication of the process. */
  public int count() {
    return count;
  }

  /** A copy of the published bytes. */
  public byte[] bytes() {
    return bytes.clone();
  }

  /** The most bytes that it takes in a datagram. */
  int maxEncodedBytes() {
    return MAX_HEADER_BYTES + bytes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MemberPayload payload
        && payload.count == count
        && Arrays.equals(payload.bytes, bytes);
  }

  @Override
  public int hashCode() {
    return 31 * count + Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return count + ":" + HexFormat.of().formatHex(bytes);
  }
}
