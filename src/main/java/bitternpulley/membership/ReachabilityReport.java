package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Whom a member reaches only by others, as it tells in its slot, before what other subsystems have
 * it tell: a form, how many, then two bytes for each, of which the first bit says whether it hears
 * that other speak.
 */
public final class ReachabilityReport {
  /** Others that are told of; with more the cut is no matter of single ways any more. */
  static final int MOST = 8;

  /** Bytes that are left for other subsystems. */
  public static final int PAYLOAD = MemberPayload.MAX_BYTES - 2 - 2 * MOST;

  private static final byte FORM = 1;
  private static final int SPEAKS = 0x8000;

  /**
   * Members that are not reached directly, each with whether it is heard to speak: then only the
   * way there is cut.
   */
  private final Map<Integer, Boolean> missed;

  private final byte[] payload;

  ReachabilityReport(Map<Integer, Boolean> missed, byte[] payload) {
    this.missed = new TreeMap<>(missed);
    this.payload = payload.clone();
  }

  /** What a slot tells; nothing where it has another form or none. */
  static ReachabilityReport of(MemberPayload slot) {
    byte[] bytes = slot == null ? new byte[0] : slot.bytes();
    Map<Integer, Boolean> missed = new TreeMap<>();
    int end = bytes.length < 2 || bytes[0] != FORM ? bytes.length + 1 : 2 + 2 * (bytes[1] & 0xff);
    if (end > bytes.length) {
      return new ReachabilityReport(Map.of(), new byte[0]);
    }
    for (int i = 2; i < end; i += 2) {
      int said = (bytes[i] & 0xff) << 8 | bytes[i + 1] & 0xff;
      missed.put(said & ~SPEAKS, (said & SPEAKS) != 0);
    }
    return new ReachabilityReport(missed, Arrays.copyOfRange(bytes, end, bytes.length));
  }

  byte[] bytes() {
    byte[] bytes = new byte[2 + 2 * missed.size() + payload.length];
    bytes[0] = FORM;
    bytes[1] = (byte) missed.size();
    int at = 2;
    for (Map.Entry<Integer, Boolean> m : missed.entrySet()) {
      int said = m.getKey() | (m.getValue() ? SPEAKS : 0);
      bytes[at++] = (byte) (said >> 8);
      bytes[at++] = (byte) said;
    }
    System.arraycopy(payload, 0, bytes, at, payload.length);
    return bytes;
  }

  /** Whom it reaches only by others, or not at all though others do, by number. */
  public List<Integer> missed() {
    return new ArrayList<>(missed.keySet());
  }

  /** Whether it hears this one, whom it does not reach, speak. */
  public boolean hearsSpeak(int number) {
    return missed.getOrDefault(number, false);
  }

  /** What other subsystems have it tell. */
  public byte[] payload() {
    return payload.clone();
  }

  @Override
  public String toString() {
    return missed + " " + java.util.HexFormat.of().formatHex(payload);
  }
}
