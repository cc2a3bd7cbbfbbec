package bitternpulley.admin;

import bitternpulley.broker.OperatorOverrides;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Encodes and decodes the lines of the overrides file: one for each cordoned server, and one when
 * quiesced.
 */
final class OverridesCodec {
  private static final String CORDONED = "cordoned ";
  private static final String QUIESCED = "quiesced";

  private OverridesCodec() {}

  /** Encodes overrides, sorted by server so that equal overrides have the same text. */
  static List<String> encode(OperatorOverrides overrides) {
    List<String> lines = new ArrayList<>();
    for (String server : new TreeSet<>(overrides.cordoned())) {
      lines.add(CORDONED + server);
    }
    if (overrides.quiesced()) {
      lines.add(QUIESCED);
    }
    return lines;
  }

  /**
   * Decodes lines written by {@link #encode}.
   *
   * @throws UnreadableOverridesException if a line has another format
   */
  static OperatorOverrides decode(List<String> lines) throws UnreadableOverridesException {
    Set<String> cordoned = new TreeSet<>();
    boolean quiesced = false;
    for (String line : lines) {
      if (line.startsWith(CORDONED)) {
        cordoned.add(line.substring(CORDONED.length()));
      } else if (line.equals(QUIESCED)) {
        quiesced = true;
      } else {
        throw new UnreadableOverridesException(
            "expected '" + CORDONED + "SERVER' or '" + QUIESCED + "' but found '" + line + "'");
      }
    }
    return new OperatorOverrides(cordoned, quiesced);
  }
}
