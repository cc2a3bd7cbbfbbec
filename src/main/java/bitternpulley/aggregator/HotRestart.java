package bitternpulley.aggregator;

import bitternpulley.broker.Event;
import bitternpulley.routing.Router.HotRestartRole;

/**
 * Tells the broker whether another process of this aggregator may serve at the same time, as it
 * does while one process takes the listening socket over from the other.
 */
final class HotRestart {
  private final ServiceContext context;
  private final ServiceState state;

  /** Ms that a replaced process may go on sending, counted from when this one listens. */
  private final double predecessorTimeMs;

  HotRestart(ServiceContext context, ServiceState state) {
    this.context = context;
    this.state = state;
    predecessorTimeMs =
        GracefulShutdown.GRACE_MS + GracefulShutdown.longestDeadlineMs(context.site());
  }

  /**
   * Assumes that this process replaces another one. Nothing tells whether it does; if so, the
   * deadline of all that the other has accepted is over after its grace period and the longest
   * deadline.
   */
  void onListening() {
    context.broker().submit(new Event.HotRestartRoleChanged(HotRestartRole.PREDECESSOR));
    context.timer().after(predecessorTimeMs, this::onPredecessorGone);
  }

  /** New connections go to the process that takes over. */
  void onDraining() {
    context.broker().submit(new Event.HotRestartRoleChanged(HotRestartRole.SUCCESSOR));
  }

  private void onPredecessorGone() {
    HotRestartRole role = state.isDraining() ? HotRestartRole.SUCCESSOR : HotRestartRole.NONE;
    context.broker().submit(new Event.HotRestartRoleChanged(role));
  }
}
