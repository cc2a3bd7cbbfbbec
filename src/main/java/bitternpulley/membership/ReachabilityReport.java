package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members that one member does not reach directly, as its payload carries them in front of the
 * bytes of other subsystems. Encoded as a format byte, a count byte, and two bytes for each member:
 * its number, with the highest bit set where messages of it still arrive.
 */
public final class ReachabilityReport {
  /** The most members reported; with more the fault is not one of single paths. */
  static final int MAX_MEMBERS = 8;

  private static final int HEADER_BYTES = 2;
  private static final int BYTES_PER_MEMBER = 2;

  /** The most bytes that other subsystems may publish. */
  public static final int MAX_PAYLOAD_BYTES =
      MemberPayload.MAX_BYTES - HEADER_BYTES - BYTES_PER_MEMBER * MAX_MEMBERS;

  private static final byte FORMAT = 1;
  private static final int RECEIVES_FLAG = 0x8000;
  private static final int BYTE_MASK = 0xff;

  /** By member, whether messages of it still arrive: then only the path towards it is cut. */
  private final Map<Integer, Boolean> unreachable;

  private final byte[] payload;

  ReachabilityReport(Map<Integer, Boolean> unreachable, byte[] payload) {
    this.unreachable = new TreeMap<>(unreachable);
    this.payload = payload.clone();
  }

  /** Decodes a payload; an empty report where it is null or of another format. */
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
    for (int at = HEADER_BYTES; at < end; at += BYTES_PER_MEMBER) {
      int entry = ((bytes[at] & BYTE_MASK) << Byte.SIZE) | (bytes[at + 1] & BYTE_MASK);
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
    int at = HEADER_BYTES;
    for (Map.Entry<Integer, Boolean> member : unreachable.entrySet()) {
      int entry = member.getKey() | (member.getValue() ? RECEIVES_FLAG : 0);
      bytes[at++] = (byte) (entry >> Byte.SIZE);
      bytes[at++] = (byte) entry;
    }
    System.arraycopy(payload, 0, bytes, end, payload.length);
    return bytes;
  }

  /** Numbers of the members that it reaches only through relays or not at all, in order. */
  public List<Integer> unreachable() {
    return new ArrayList<>(unreachable.keySet());
  }

  /** Whether messages of a member that it does not reach still arrive. */
  public boolean receivesFrom(int number) {
    return unreachable.getOrDefault(number, false);
  }

  /** A copy of the bytes that other subsystems publish. */
  public byte[] payload() {
    return payload.clone();
  }

  @Override
  public String toString() {
    return unreachable + " " + HexFormat.of().formatHex(payload);
  }
}
