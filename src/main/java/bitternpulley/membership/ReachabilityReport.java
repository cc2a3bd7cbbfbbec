package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The decoded payload of a member: the members that it does not reach directly, followed by the
 * bytes of other subsystems. The unreachable members are encoded as a format byte, a count byte,
 * and two bytes for each member: its number, with the highest bit set if messages from it still
 * arrive.
 */
public final class ReachabilityReport {
  /** Maximum number of members reported; with more, the fault does not lie in single paths. */
  static final int MAX_MEMBERS = 8;

  private static final int HEADER_BYTES = 2;
  private static final int BYTES_PER_MEMBER = 2;

  /** The maximum number of bytes that other subsystems may publish. */
  public static final int MAX_PAYLOAD_BYTES =
      MemberPayload.MAX_BYTES - HEADER_BYTES - BYTES_PER_MEMBER * MAX_MEMBERS;

  private static final byte FORMAT = 1;
  private static final int RECEIVES_FLAG = 0x8000;
  private static final int BYTE_MASK = 0xff;

  /**
   * Whether messages from the member still arrive, by number of the unreachable member. If they do,
   * only the path towards the member is cut.
   */
  private final Map<Integer, Boolean> unreachable;

  private final byte[] payload;

  ReachabilityReport(Map<Integer, Boolean> unreachable, byte[] payload) {
    this.unreachable = new TreeMap<>(unreachable);
    this.payload = payload.clone();
  }

  /** Decodes a payload; the report is empty if the payload is null or has another format. */
  static ReachabilityReport of(MemberPayload memberPayload) {
    byte[] bytes = memberPayload == null ? new byte[0] : memberPayload.bytes();
    if (bytes.length < HEADER_BYTES || bytes[0] != FORMAT) {
      return empty();
    }
    int end = HEADER_BYTES + BYTES_PER_MEMBER * (bytes[1] & BYTE_MASK);
    if (end > bytes.length) {
      return empty();
    }
    Map<Integer, Boolean> unreachable = new TreeMap<>();
    for (int offset = HEADER_BYTES; offset < end; offset += BYTES_PER_MEMBER) {
      int entry = ((bytes[offset] & BYTE_MASK) << Byte.SIZE) | (bytes[offset + 1] & BYTE_MASK);
      unreachable.put(entry & ~RECEIVES_FLAG, (entry & RECEIVES_FLAG) != 0);
    }
    return new ReachabilityReport(unreachable, Arrays.copyOfRange(bytes, end, bytes.length));
  }

  private static ReachabilityReport empty() {
    return new ReachabilityReport(Map.of(), new byte[0]);
  }

  byte[] encode() {
    int end = HEADER_BYTES + BYTES_PER_MEMBER * unreachable.size();
    byte[] bytes = new byte[end + payload.length];
    bytes[0] = FORMAT;
    bytes[1] = (byte) unreachable.size();
    int offset = HEADER_BYTES;
    for (Map.Entry<Integer, Boolean> member : unreachable.entrySet()) {
      int entry = member.getKey() | (member.getValue() ? RECEIVES_FLAG : 0);
      bytes[offset++] = (byte) (entry >> Byte.SIZE);
      bytes[offset++] = (byte) entry;
    }
    System.arraycopy(payload, 0, bytes, end, payload.length);
    return bytes;
  }

  /** Numbers, in order, of the members that are reached only through relays or not at all. */
  public List<Integer> unreachable() {
    return new ArrayList<>(unreachable.keySet());
  }

  /** Whether messages from this unreachable member still arrive. */
  public boolean receivesFrom(int number) {
    return unreachable.getOrDefault(number, false);
  }

  /** A copy of the bytes of other subsystems. */
  public byte[] payload() {
    return payload.clone();
  }

  @Override
  public String toString() {
    return unreachable + " " + HexFormat.of().formatHex(payload);
  }
}
