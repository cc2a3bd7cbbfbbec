package bitternpulley.membership;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Which others this instance does not reach by itself, and so what it tells of that; with it goes
 * what others have it tell.
 */
final class ReachabilityTracker {
  /**
   * Probes in a row that others had to answer for: at a loss of a fifth, two in a row are one in
   * sixty.
   */
  static final int SURE = 3;

  private byte[] payload = new byte[0];
  private Map<Integer, Boolean> missed = Map.of();

  /**
   * A member answered a probe, or had others answer; whether to ask it at once again, to be sure.
   */
  boolean answered(Member m, boolean byOthers) {
    m.missed = byOthers ? m.missed + 1 : 0;
    return byOthers && m.missed < SURE;
  }

  /** What is to be told from now on, where it is something else. */
  Optional<byte[]> look(MembershipTable table, double speaksSince) {
    Map<Integer, Boolean> now = new TreeMap<>();
    for (Member m : table.all()) {
      if (m.here() && m.missed >= SURE && now.size() < ReachabilityReport.MOST) {
        now.put(m.number, m.spokeAt >= speaksSince);
      }
    }
    if (now.equals(missed)) {
      return Optional.empty();
    }
    missed = now;
    return Optional.of(bytes());
  }

  /** Other subsystems have it tell this; throws IllegalArgumentException where it is too long. */
  byte[] tell(byte[] bytes) {
    if (bytes.length > ReachabilityReport.PAYLOAD) {
      throw new IllegalArgumentException("a payload of " + bytes.length + " bytes");
    }
    payload = bytes.clone();
    return bytes();
  }

  private byte[] bytes() {
    return new ReachabilityReport(missed, payload).bytes();
  }
}
