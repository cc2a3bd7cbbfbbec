package bitternpulley.broker;

import java.util.Set;
import java.util.TreeSet;

/**
 * The overrides that operators have put in force and not removed.
 *
 * @param cordoned the ids of the servers that are to get no new work
 * @param quiesced whether clients are sent away
 */
public record OperatorOverrides(Set<String> cordoned, boolean quiesced) {
  /** No server is cordoned and clients are served. */
  public static final OperatorOverrides NONE = new OperatorOverrides(Set.of(), false);

  /** Copies the set, so that overrides never change. */
  public OperatorOverrides {
    cordoned = Set.copyOf(cordoned);
  }

  /** Returns these overrides with a further one applied; applying it twice changes nothing. */
  public OperatorOverrides with(OperatorCommand override) {
    if (override.server() == null) {
      return new OperatorOverrides(cordoned, override.enabled());
    }
    Set<String> changed = new TreeSet<>(cordoned);
    if (override.enabled()) {
      changed.add(override.server());
    } else {
      changed.remove(override.server());
    }
    return new OperatorOverrides(changed, quiesced);
  }

  /**
   * One override: cordon a server or readmit it, or quiesce this instance or resume it.
   *
   * @param server the id of the server; null for this instance
   * @param enabled true to cordon or quiesce, false to readmit or resume
   */
  public record OperatorCommand(String server, boolean enabled) {}
}
