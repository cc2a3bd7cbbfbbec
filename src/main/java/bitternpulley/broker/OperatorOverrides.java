package bitternpulley.broker;

import java.util.Set;
import java.util.TreeSet;

/**
 * The operator overrides in force.
 *
 * @param cordoned the ids of the servers that receive no new work
 * @param quiesced whether this instance is quiesced, so that it closes client connections after
 *     their next response
 */
public record OperatorOverrides(Set<String> cordoned, boolean quiesced) {
  /** No server is cordoned and this instance is not quiesced. */
  public static final OperatorOverrides NONE = new OperatorOverrides(Set.of(), false);

  /** Copies the set, so that the overrides are immutable. */
  public OperatorOverrides {
    cordoned = Set.copyOf(cordoned);
  }

  /** Returns these overrides with a command applied; applying it twice has no further effect. */
  public OperatorOverrides with(OperatorCommand command) {
    if (command.server() == null) {
      return new OperatorOverrides(cordoned, command.enabled());
    }
    Set<String> changed = new TreeSet<>(cordoned);
    if (command.enabled()) {
      changed.add(command.server());
    } else {
      changed.remove(command.server());
    }
    return new OperatorOverrides(changed, quiesced);
  }

  /**
   * A command to cordon or readmit a server, or to quiesce or resume this instance.
   *
   * @param server the id of the server; null for this instance
   * @param enabled true to cordon or quiesce, false to readmit or resume
   */
  public record OperatorCommand(String server, boolean enabled) {}
}
