package bitternpulley.broker;

import java.util.Set;
import java.util.TreeSet;

/**
 * What operators have ordered and not taken back: the servers that are cordoned, and whether to
 * send clients away.
 */
public record OperatorOrders(Set<String> cordoned, boolean quiesced) {
  public static final OperatorOrders NOTHING = new OperatorOrders(Set.of(), false);

  public OperatorOrders {
    cordoned = Set.copyOf(cordoned);
  }

  /** The same with an order carried out; once more changes nothing. */
  public OperatorOrders with(Order order) {
    if (order.server() == null) {
      return new OperatorOrders(cordoned, order.on());
    }
    Set<String> changed = new TreeSet<>(cordoned);
    if (order.on()) {
      changed.add(order.server());
    } else {
      changed.remove(order.server());
    }
    return new OperatorOrders(changed, quiesced);
  }

  /**
   * To cordon a server or let it back in; where {@code server} is null, to quiesce or to resume.
   */
  public record Order(String server, boolean on) {}
}
