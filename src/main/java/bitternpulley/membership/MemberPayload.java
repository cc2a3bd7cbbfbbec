package bitternpulley.membership;

import java.util.Arrays;

/**
 * What a member tells of itself for other subsystems: at most {@link #MAX_BYTES} bytes whose first
 * says, to whoever reads them, of which form they are. Of one process's slots that with the greater
 * count is the later one.
 */
public final class MemberPayload {
  public static final int MAX_BYTES = 64;

  private final int count;
  private final byte[] bytes;

  /** Throws IllegalArgumentException where it is too long. */
  public MemberPayload(int count, byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      throw new IllegalArgumentException("a slot of " + bytes.length + " bytes");
    }
    this.count = count;
    this.bytes = bytes.clone();
  }

  public int count() {
    return count;
  }

  public byte[] bytes() {
    return bytes.clone();
  }

  /** Bytes that it takes in a datagram, at the most. */
  int size() {
    return 7 + bytes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MemberPayload s && s.count == count && Arrays.equals(s.bytes, bytes);
  }

  @Override
  public int hashCode() {
    return 31 * count + Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return count + ":" + java.util.HexFormat.of().formatHex(bytes);
  }
}
