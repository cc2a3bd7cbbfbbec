package bitternpulley.broker;

import java.util.Set;
import java.util.TreeSet;

/**
 * What operators have ordered and not taken back: the servers that are cordoned, and whether to
 * send clients away.
 */
public record OperatorOverrides(Set<String> cordoned, boolean quiesced) {
  public static final OperatorOverrides NONE = new OperatorOverrides(Set.of(), false);

  public OperatorOverrides {
    cordoned = Set.copyOf(cordoned);
  }

  /** The same with an order carried out; once more changes nothing. */
  public OperatorOverrides with(Override order) {
    if (order.server() == null) {
      return new OperatorOverrides(cordoned, order.enabled());
    }
    Set<String> changed = new TreeSet<>(cordoned);
    if (order.enabled()) {
      changed.add(order.server());
    } else {
      changed.remove(order.server());
    }
    return new OperatorOverrides(changed, quiesced);
  }

  /**
   * To cordon a server or let it back in; where {@code server} is null, to quiesce or to resume.
   */
  public record Override(String server, boolean enabled) {}
}
